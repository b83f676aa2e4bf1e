/**
 * A member's identity must survive a process kill followed by a power failure, at every pair of disk operations,
 * since other members already know an identity that was returned.
 */
import { join } from 'node:path';
import { describe, expect, it, vi } from 'vitest';
import { type NameDurability, SimulatedDisk } from '../../tests/support/simulated-disk.js';
import { type Identity, IdentityStore } from '../control/identity.js';

vi.mock('node:fs/promises', async (importOriginal) => {
  const { withSimulatedDisks } = await import('../../tests/support/simulated-disk-files.js');
  return withSimulatedDisks(await importOriginal());
});

/** More disk operations than creating an identity and changing it once take. */
const OPERATIONS = 26;

interface KnownIdentity {
  /** The identity that was found or saved last. */
  current: Identity;
  /** The identity whose save may not have completed. */
  next?: Identity;
}

class Schedule {
  private readonly disk: SimulatedDisk;
  private known: KnownIdentity | undefined;

  constructor(seed: number, nameDurability: NameDurability) {
    this.disk = new SimulatedDisk('identity', { seed, nameDurability });
  }

  /** @returns a description of the failure, if any */
  async play(killAt: number, powerLossAt: number): Promise<string | undefined> {
    await this.runProcess(killAt);
    await this.runProcess(powerLossAt);
    this.disk.losePower();
    const found = await this.open();
    if (this.allows(found)) return undefined;
    const wanted = JSON.stringify(this.known);
    return `${killAt}, ${powerLossAt}: ${JSON.stringify(found.identity)} instead of ${wanted}`;
  }

  private async open(killAt = Number.POSITIVE_INFINITY): Promise<IdentityStore> {
    const root = this.disk.startProcess();
    this.disk.killAt = killAt;
    return IdentityStore.open(join(root, 'data'), 'member');
  }

  private async runProcess(killAt: number): Promise<void> {
    try {
      const store = await this.open(killAt);
      expect(this.allows(store)).toBe(true);
      const { identity } = store;
      const next: Identity = {
        ...identity,
        state: identity.state === 'new' ? 'founding' : 'member',
      };
      this.known = { current: identity, next };
      await store.save(next);
      this.known = { current: next };
    } catch (error) {
      if (this.disk.isAlive) throw error;
    }
    this.disk.kill();
  }

  private allows({ identity }: IdentityStore): boolean {
    if (!this.known) return true;
    const { current, next } = this.known;
    const isSame = (other: Identity | undefined): boolean =>
      JSON.stringify(other) === JSON.stringify(identity);
    return isSame(current) || isSame(next);
  }
}

describe('an identity', () => {
  it.each<NameDurability>(['file-sync', 'folder-sync-only'])(
    'is unchanged after a kill and a power failure at any operations (%s)',
    async (nameDurability) => {
      const failures: string[] = [];
      for (let killAt = 1; killAt <= OPERATIONS; killAt += 1) {
        for (let powerLossAt = 1; powerLossAt <= OPERATIONS; powerLossAt += 1) {
          const schedule = new Schedule(killAt * OPERATIONS + powerLossAt, nameDurability);
          const failure = await schedule.play(killAt, powerLossAt);
          if (failure) failures.push(failure);
        }
      }
      expect(failures).toEqual([]);
    },
  );
});
