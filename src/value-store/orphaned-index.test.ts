/** Recovery from a power failure during the removal of a segment. */
import { join } from 'node:path';
import { expect, it, vi } from 'vitest';
import { fuzzSeeds } from '../../tests/support/fuzz-seeds.js';
import { SimulatedDisk } from '../../tests/support/simulated-disk.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { createLogger } from '../observability/index.js';
import { openStoreFolder } from './store-folder.js';
import { ValueStore } from './value-store.js';

vi.mock('node:fs/promises', async (importOriginal) => {
  const { withSimulatedDisks } = await import('../../tests/support/simulated-disk-files.js');
  return withSimulatedDisks(await importOriginal());
});

const VALUE_BYTES = 300;
const SEGMENT_BYTES = 1_000;
const REMOVED_KEYS = ['a', 'b', 'c', 'd'];
const LATER_KEYS = ['e', 'f'];

async function openStore(disk: SimulatedDisk): Promise<ValueStore> {
  return ValueStore.open({
    folder: await openStoreFolder(join(disk.startProcess(), 'turns')),
    logger: createLogger({ test: 'left-index' }),
    onFatal: () => expect(disk.isAlive).toBe(false),
    segmentBytes: SEGMENT_BYTES,
    cacheBytes: 1,
    writeDelayMs: 1,
  });
}

async function putAndSync(store: ValueStore, keys: readonly string[]): Promise<void> {
  for (const key of keys) store.put(key, Buffer.alloc(VALUE_BYTES, key));
  await store.sync();
}

/** @returns keys of synced values that recovery does not find */
async function findLostKeys(seed: number): Promise<string[]> {
  const disk = new SimulatedDisk('values', { seed });
  const first = await openStore(disk);
  await putAndSync(first, REMOVED_KEYS);
  await waitUntil('sealed', () => disk.list().some((name) => name.includes('index')));
  for (const key of REMOVED_KEYS) first.delete(key);
  await waitUntil('removed', () => disk.list().every((name) => !name.includes('/turns/')));
  disk.losePower('draws-each');

  const second = await openStore(disk);
  second.retain(() => false);
  await putAndSync(second, LATER_KEYS);
  disk.kill();
  const third = await openStore(disk);
  const values = await Promise.all(LATER_KEYS.map((key) => third.get(key)));
  disk.kill();
  return LATER_KEYS.filter((_, index) => values[index] === undefined);
}

/**
 * A power failure can restore the index of a removed segment without the segment. If a new segment reuses the number,
 * recovery reads the stale index for it and loses synced values.
 */
it('finds synced values after a power failure restored the index of a removed segment', async () => {
  const failures: string[] = [];
  for (const seed of fuzzSeeds([], 40)) {
    const lost = await findLostKeys(seed);
    if (lost.length > 0) failures.push(`seed ${seed}: ${lost.join(' ')}`);
  }
  expect(failures).toEqual([]);
});
