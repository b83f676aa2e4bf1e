/**
 * Randomized kills and power failures of a value store on a simulated disk: live values covered by a sync must
 * survive.
 */
import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { describe, expect, it, vi } from 'vitest';
import { fuzzSeeds } from '../../tests/support/fuzz-seeds.js';
import { runKillSchedule } from '../../tests/support/simulated-kills.js';
import {
  type NameDurability,
  SimulatedDisk,
  createDecorrelatedRandom,
} from '../../tests/support/simulated-disk.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { Deferred, type SeededRandom, sleep } from '../common/index.js';
import { replaceFile } from '../log-store/index.js';
import { createLogger } from '../observability/index.js';
import { ValueStore, openStoreFolder } from '../value-store/index.js';

vi.mock('node:fs/promises', async (importOriginal) => {
  const { withSimulatedDisks } = await import('../../tests/support/simulated-disk-files.js');
  return withSimulatedDisks(await importOriginal());
});

const INDEX_NAME = 'values-0000000001.index';
const SEGMENT_BYTES = 700;
const MAX_VALUE_BYTES = 200;
const MAX_VALUES_PER_PUT = 5;
/** Steps of one process, and the approximate number of disk operations that they take. */
const STEPS = 20;
const OPERATIONS = 90;
const MAX_PROCESSES = 6;
const SCHEDULES = 60;

function valueOf(key: string): Buffer {
  const bytes = 1 + ((Number(key.slice('key-'.length)) * 37) % MAX_VALUE_BYTES);
  return Buffer.from(`${key}:${'v'.repeat(bytes)}`);
}

async function openStore(folder: string): Promise<ValueStore> {
  return ValueStore.open({
    folder: await openStoreFolder(folder),
    logger: createLogger({ test: 'value-store-power-loss' }),
    // Fatal errors after the simulated kill are expected.
    onFatal: () => undefined,
    segmentBytes: SEGMENT_BYTES,
    cacheBytes: 1,
  });
}

/** Live keys, and whether a sync has covered them. */
class WantedValues {
  readonly synced = new Map<string, boolean>();
  private latest = 0;

  get keys(): string[] {
    return [...this.synced.keys()];
  }

  add(): string {
    this.latest += 1;
    const key = `key-${this.latest}`;
    this.synced.set(key, false);
    return key;
  }

  markSynced(keys: readonly string[]): void {
    for (const key of keys) if (this.synced.has(key)) this.synced.set(key, true);
  }

  /** Removes unsynced values that were lost with their process. */
  removeUnsyncedLosses(store: ValueStore): void {
    for (const [key, isSynced] of this.synced) {
      if (!isSynced && !store.has(key)) this.synced.delete(key);
    }
  }
}

/** One process. Its actions after the kill are disregarded. */
interface StoreProcess {
  store: ValueStore;
  killed: AbortSignal;
}

async function work(
  { store, killed }: StoreProcess,
  wanted: WantedValues,
  random: SeededRandom,
): Promise<void> {
  const put = (): void => {
    for (let count = random.integer(1, MAX_VALUES_PER_PUT); count > 0; count -= 1) {
      const key = wanted.add();
      store.put(key, valueOf(key));
    }
  };
  const drop = (keep: number): void => {
    for (const key of wanted.keys.filter(() => !random.chance(keep))) {
      wanted.synced.delete(key);
      store.delete(key);
    }
  };
  const sync = async (): Promise<void> => {
    const { keys } = wanted;
    await store.sync();
    if (!killed.aborted) wanted.markSynced(keys);
  };
  const steps = [put, put, put, sync, sync, () => drop(0.5), () => drop(0), () => sleep(2)];
  for (let count = 0; count < STEPS && !killed.aborted; count += 1) await random.pick(steps)();
  if (!killed.aborted) await sync();
}

class Schedule {
  private readonly random: SeededRandom;
  private readonly disk: SimulatedDisk;
  private readonly wanted = new WantedValues();

  constructor(
    private readonly seed: number,
    nameDurability: NameDurability,
  ) {
    this.random = createDecorrelatedRandom(seed);
    this.disk = new SimulatedDisk(`values-${seed}`, { seed, nameDurability });
  }

  /** @returns a description of the failure, if any */
  play(): Promise<string | undefined> {
    const { seed, random, disk } = this;
    const bounds = { maxProcesses: MAX_PROCESSES, operations: OPERATIONS };
    const runProcess = (killAt: number): Promise<void> => this.runProcess(killAt);
    return runKillSchedule({ seed, disk, random, ...bounds, runProcess });
  }

  private async runProcess(killAt: number): Promise<void> {
    const { disk } = this;
    const ending = new Deferred<void>();
    const killing = new AbortController();
    const root = disk.startProcess(() => {
      killing.abort();
      ending.resolve();
    });
    disk.killAt = killAt;
    const ended = this.runStore(root, killing.signal).catch((error: unknown) => {
      if (!killing.signal.aborted) throw error;
    });
    await Promise.race([ended, ending.promise]);
    disk.kill();
  }

  private async runStore(root: string, killed: AbortSignal): Promise<void> {
    const store = await openStore(join(root, 'data', 'turns'));
    await this.check(store);
    killed.throwIfAborted();
    this.wanted.removeUnsyncedLosses(store);
    store.retain((key) => this.wanted.synced.has(key));
    await work({ store, killed }, this.wanted, this.random);
    if (!killed.aborted) await this.check(store);
  }

  private async check(store: ValueStore): Promise<void> {
    for (const [key, isSynced] of this.wanted.synced) {
      if (!isSynced) continue;
      const value = await store.get(key);
      if (!value?.equals(valueOf(key))) throw new Error(`${key} is ${value ? 'wrong' : 'gone'}`);
    }
  }
}

async function playAll(nameDurability: NameDurability): Promise<string[]> {
  const failures: string[] = [];
  for (const seed of fuzzSeeds([], SCHEDULES)) {
    const failure = await new Schedule(seed, nameDurability).play();
    if (failure) failures.push(failure);
  }
  return failures;
}

describe('a value store with a stale index', () => {
  /** A new segment must not reuse the number of a removed one whose index reappeared after a power failure. */
  it('finds synced values of a segment despite a stale index of an earlier segment', async () => {
    const disk = new SimulatedDisk('index', { seed: 1 });
    const folderOf = (root: string): string => join(root, 'data', 'turns');
    const folder = folderOf(disk.startProcess());
    const store = await openStore(folder);
    const expired = Array.from({ length: 20 }, (_, index) => `key-${index}`);
    for (const key of expired) store.put(key, valueOf(key));
    await store.sync();
    await waitUntil('sealed', () => disk.list().some((name) => name.endsWith(INDEX_NAME)));
    const index = await readFile(join(folder, INDEX_NAME));
    for (const key of expired) store.delete(key);
    await waitUntil('removed', () => !disk.list().some((name) => name.includes('.segment')));
    const folderAfter = folderOf(disk.startProcess());
    await replaceFile(folderAfter, INDEX_NAME, index);
    const next = await openStore(folderAfter);
    next.put('key-50', valueOf('key-50'));
    await next.sync();
    const last = await openStore(folderOf(disk.startProcess()));
    expect((await last.get('key-50'))?.toString()).toBe(valueOf('key-50').toString());
  });
});

describe('a value store under random kills and power failures', () => {
  it('keeps synced values', async () => {
    expect(await playAll('file-sync')).toEqual([]);
  });

  it('keeps synced values if file names are durable only after a folder sync', async () => {
    expect(await playAll('folder-sync-only')).toEqual([]);
  });
});
