/**
 * Guards against using an identity whose file was renamed but not synced: after a power loss the member would get
 * a new identity while it still has the log of the old one.
 */
import { join } from 'node:path';
import { expect, it, vi } from 'vitest';
import { SimulatedDisk } from '../../tests/support/simulated-disk.js';
import { type Identity, IdentityStore } from './identity.js';

vi.mock('node:fs/promises', async (importOriginal) => {
  const { withSimulatedDisks } = await import('../../tests/support/simulated-disk-files.js');
  return withSimulatedDisks(await importOriginal());
});

async function startAndIdentify(disk: SimulatedDisk, killBefore?: string): Promise<Identity> {
  const root = disk.startProcess();
  disk.killBefore = killBefore;
  const { identity } = await IdentityStore.open(join(root, 'data'), 'control-1');
  return identity;
}

it('keeps an identity that was read at startup across a power loss', async () => {
  const disk = new SimulatedDisk('identity', { seed: 1 });
  const killed = startAndIdentify(disk, 'sync folder /data');
  await expect(killed).rejects.toThrow();
  expect(disk.list()).toContain('/data/identity.json');
  const found = await startAndIdentify(disk);
  disk.losePower('drops-all');
  expect(await startAndIdentify(disk)).toEqual(found);
});
