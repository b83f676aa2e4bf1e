/**
 * The store of kept turns on a simulated disk, over drawn deaths of its process and losses of power: whatever a
 * sync has covered, and what a start has found and a sync has covered since, is held for as long as it is wanted.
 */
import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { describe, expect, it, vi } from 'vitest';
import { fuzzSeeds } from '../../tests/support/fuzz-seeds.js';
import { playDeaths } from '../../tests/support/simulated-deaths.js';
import {
  type NameDurability,
  SimulatedDisk,
  spreadRandom,
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
const LONGEST_VALUE_BYTES = 200;
const MOST_VALUES_AT_ONCE = 5;
/** What one process does, in steps, and about as many operations on its disk. */
const STEPS = 20;
const OPERATIONS = 90;
const MOST_PROCESSES = 6;
const SCHEDULES = 60;

function valueOf(key: string): Buffer {
  const bytes = 1 + ((Number(key.slice('key-'.length)) * 37) % LONGEST_VALUE_BYTES);
  return Buffer.from(`${key}:${'v'.repeat(bytes)}`);
}

async function openStore(folder: string): Promise<ValueStore> {
  return ValueStore.open({
    folder: await openStoreFolder(folder),
    logger: createLogger({ test: 'value-store-power-loss' }),
    // A killed process ends by itself as well; nobody asks it any more.
    onFatal: () => undefined,
    segmentBytes: SEGMENT_BYTES,
    cacheBytes: 1,
  });
}

/** Values that are wanted, and whether a sync has covered them. */
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

  noteSynced(keys: readonly string[]): void {
    for (const key of keys) if (this.synced.has(key)) this.synced.set(key, true);
  }

  /** What a process never synced may be gone with it. */
  forgetWhatIsGone(store: ValueStore): void {
    for (const [key, isSynced] of this.synced) {
      if (!isSynced && !store.has(key)) this.synced.delete(key);
    }
  }
}

/** One process: what it does after its death counts no more. */
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
    for (let count = random.integer(1, MOST_VALUES_AT_ONCE); count > 0; count -= 1) {
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
    if (!killed.aborted) wanted.noteSynced(keys);
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
    this.random = spreadRandom(seed);
    this.disk = new SimulatedDisk(`values-${seed}`, { seed, nameDurability });
  }

  /** @returns what was wrong; undefined when nothing was */
  play(): Promise<string | undefined> {
    const { seed, random, disk } = this;
    const bounds = { mostProcesses: MOST_PROCESSES, operations: OPERATIONS };
    const runProcess = (killAt: number): Promise<void> => this.runProcess(killAt);
    return playDeaths({ seed, disk, random, ...bounds, runProcess });
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
    this.wanted.forgetWhatIsGone(store);
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

describe('a store of kept turns', () => {
  /**
   * All that the last segment held was over, so that its index and the segment were removed; the power went, and only the
   * removal of the segment lasted. The next segment got the same number. Until it was sealed it had no index of its own,
   * and a start took the old one for it: what a sync had covered in the new segment was not found any more.
   * Drawn schedules showed it as `key-44 is gone`, with segment 1 made anew beside an index that nobody had written
   * for it.
   */
  it('holds what it wrote to a segment beside which an index of an earlier one is left', async () => {
    const disk = new SimulatedDisk('index', { seed: 1 });
    const folderOf = (root: string): string => join(root, 'data', 'turns');
    const folder = folderOf(disk.startProcess());
    const store = await openStore(folder);
    const over = Array.from({ length: 20 }, (_, index) => `key-${index}`);
    for (const key of over) store.put(key, valueOf(key));
    await store.sync();
    await waitUntil('sealed', () => disk.list().some((name) => name.endsWith(INDEX_NAME)));
    const index = await readFile(join(folder, INDEX_NAME));
    for (const key of over) store.delete(key);
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

describe('the store of kept turns over drawn deaths and losses of power', () => {
  it('holds what a sync has covered', async () => {
    expect(await playAll('file-sync')).toEqual([]);
  });

  it('does so where only the sync of a folder keeps the names of its new files', async () => {
    expect(await playAll('folder-sync-only')).toEqual([]);
  });
});
