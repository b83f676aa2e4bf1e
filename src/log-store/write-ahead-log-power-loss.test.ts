/**
 * Kills the process, or cuts the power, at each operation of the write-ahead log. Recovered state
 * must be durable from then on, because votes and acknowledgements depend on it.
 */
import { join } from 'node:path';
import { describe, expect, it, vi } from 'vitest';
import { fuzzSeeds } from '../../tests/support/fuzz-seeds.js';
import {
  type NameDurability,
  ProcessKilledError,
  SimulatedDisk,
  createDecorrelatedRandom,
} from '../../tests/support/simulated-disk.js';
import { Deferred, type SeededRandom } from '../common/index.js';
import { GroupLogState } from './group-log-state.js';
import type { LogRecord } from './records.js';
import { WriteAheadLog } from './write-ahead-log.js';

vi.mock('node:fs/promises', async (importOriginal) => {
  const { withSimulatedDisks } = await import('../../tests/support/simulated-disk-files.js');
  return withSimulatedDisks(await importOriginal());
});

const GROUP = 'g';
const MEMBER = 'me';
const TERM = 5;
/** Small segments, so that they are created and removed often. */
const SEGMENT_BYTES = 250;
/** Steps per process, and the fraction of them that vote or replace entries. */
const STEPS = 24;
const RARE_STEP_FRACTION = 0.1;

/** How a process ends. */
interface Ending {
  /** Number of the operation at which it is killed, starting with 1. */
  at: number;
  losesPower: boolean;
}

/** Model of the log: submitted records in order, and how many are acknowledged. */
class ExpectedLog {
  private records: LogRecord[] = [];
  private acknowledged = 0;

  /** @returns the number of records including this one */
  submit(record: LogRecord): number {
    return this.records.push(record);
  }

  /** @param count number of acknowledged records, from the first */
  acknowledge(count: number): void {
    this.acknowledged = Math.max(this.acknowledged, count);
  }

  /** Whether a state results from a prefix of the records that includes all acknowledged ones. */
  allows(found: GroupLogState): boolean {
    for (let count = this.acknowledged; count <= this.records.length; count += 1) {
      if (describeState(stateAfter(this.records.slice(0, count))) === describeState(found))
        return true;
    }
    return false;
  }

  /** From now on the recovered state counts as acknowledged. */
  restartFrom(found: GroupLogState): void {
    this.records = [
      { kind: 'snapshot', group: GROUP, mark: found.snapshot },
      { kind: 'entries', group: GROUP, entries: [...found.entries] },
      { kind: 'hard-state', group: GROUP, state: found.hardState },
    ];
    this.acknowledged = this.records.length;
  }

  describe(): string {
    return describeState(stateAfter(this.records.slice(0, this.acknowledged)));
  }
}

function stateAfter(records: readonly LogRecord[]): GroupLogState {
  const state = new GroupLogState();
  for (const record of records) state.apply(record);
  return state;
}

function describeState({ hardState, snapshot, entries }: GroupLogState): string {
  const held = Array.from(entries, (entry) =>
    entry ? `${entry.index}@${entry.term}:${Buffer.from(entry.data).toString()}` : 'missing',
  );
  const { term, votedFor = '-' } = hardState;
  return `term ${term} voted ${votedFor} snapshot ${snapshot.index}@${snapshot.term} ${held.join(' ')}`;
}

/** Performs random votes, appends, replacements and compactions. */
async function work(
  log: WriteAheadLog,
  expected: ExpectedLog,
  random: SeededRandom,
): Promise<void> {
  const state = log.group(GROUP);
  const append = async (record: LogRecord): Promise<void> => {
    const count = expected.submit(record);
    await log.append([record]);
    expected.acknowledge(count);
  };
  const appendEntry = (): Promise<void> => {
    const { term } = state.hardState;
    const index = state.lastIndex + 1;
    const data = Buffer.from(`entry-${index}-of-${term}`);
    const entries = [{ index, term, kind: 'command' as const, data }];
    return append({ kind: 'entries', group: GROUP, entries });
  };
  const compact = (): Promise<void> => {
    const index = random.integer(state.snapshot.index, state.lastIndex);
    const mark = { index, term: state.termAt(index)! };
    return append({ kind: 'snapshot', group: GROUP, mark });
  };
  const vote = (): Promise<void> => {
    const term = state.hardState.term + 1;
    return append({ kind: 'hard-state', group: GROUP, state: { term, votedFor: MEMBER } });
  };
  const replaceLast = async (): Promise<void> => {
    if (state.entries.length === 0) return;
    await append({ kind: 'truncate', group: GROUP, fromIndex: state.lastIndex });
    await appendEntry();
  };
  const steps = [appendEntry, appendEntry, appendEntry, appendEntry, appendEntry, compact, compact];
  const waiting: Promise<void>[] = [];
  for (let count = 0; count < STEPS; count += 1) {
    const step = random.chance(RARE_STEP_FRACTION)
      ? random.pick([vote, replaceLast])
      : random.pick(steps);
    waiting.push(step());
    // Pending records are written in one batch with the following ones.
    if (random.chance(0.6)) await Promise.all(waiting.splice(0));
  }
  await Promise.all(waiting);
}

/** Runs one process until it ends. */
async function runProcess(
  disk: SimulatedDisk,
  expected: ExpectedLog,
  random: SeededRandom,
  ending: Ending | undefined,
): Promise<void> {
  const killed = new Deferred<void>();
  const root = disk.startProcess(() => killed.resolve());
  disk.killAt = ending?.at ?? Number.POSITIVE_INFINITY;
  const fatal: unknown[] = [];
  const run = async (): Promise<void> => {
    const log = await WriteAheadLog.open({
      folder: join(root, 'data', 'log'),
      segmentBytes: SEGMENT_BYTES,
      onFatal: (error) => void fatal.push(error),
    });
    const found = log.group(GROUP);
    if (!expected.allows(found)) {
      throw new Error(`found ${describeState(found)}\ninstead of ${expected.describe()}`);
    }
    expected.restartFrom(found);
    await work(log, expected, random);
    await log.close();
  };
  const ended = run().catch((error: unknown) => {
    if (disk.isAlive || !isKillError(error)) throw error;
  });
  await Promise.race([ended, killed.promise]);
  await ended;
  if (ending?.losesPower) disk.losePower();
  else disk.kill();
}

function isKillError(error: unknown): boolean {
  const { cause } = error as Error;
  return error instanceof ProcessKilledError || cause instanceof ProcessKilledError;
}

/** @returns a description of the failure, or undefined */
async function runSchedule(
  seed: number,
  endings: readonly Ending[],
  nameDurability: NameDurability,
): Promise<string | undefined> {
  const disk = new SimulatedDisk('log', { seed, nameDurability });
  const random = createDecorrelatedRandom(seed);
  const expected = new ExpectedLog();
  try {
    for (const ending of endings) await runProcess(disk, expected, random, ending);
    // Twice: segments removed by the first process can only be missed by the second one.
    await runProcess(disk, expected, random, undefined);
    await runProcess(disk, expected, random, undefined);
  } catch (error) {
    return `seed ${seed}, ${JSON.stringify(endings)}: ${String(error)}`;
  }
  return undefined;
}

/** Approximate number of disk operations per process. */
const OPERATIONS = 2 * STEPS + 20;
const MAX_ENDINGS = 5;
const SCHEDULES = 300;

function killThenPowerLoss(random: SeededRandom): Ending[] {
  return [false, true].map((losesPower) => ({ at: random.integer(1, OPERATIONS), losesPower }));
}

function severalEndings(random: SeededRandom): Ending[] {
  return Array.from({ length: random.integer(1, MAX_ENDINGS) }, () => ({
    at: random.integer(1, OPERATIONS),
    losesPower: random.chance(0.5),
  }));
}

async function runSchedules(
  randomEndings: (random: SeededRandom) => Ending[],
  nameDurability: NameDurability,
): Promise<string[]> {
  const failures: string[] = [];
  for (const seed of fuzzSeeds([], SCHEDULES)) {
    const failure = await runSchedule(
      seed,
      randomEndings(createDecorrelatedRandom(seed)),
      nameDurability,
    );
    if (failure) failures.push(failure);
  }
  return failures;
}

/** @param killBefore operation of the new process before which it is killed */
async function openLog(disk: SimulatedDisk, killBefore?: string): Promise<WriteAheadLog> {
  const root = disk.startProcess();
  disk.killBefore = killBefore;
  return WriteAheadLog.open({
    folder: join(root, 'data', 'log'),
    segmentBytes: SEGMENT_BYTES,
    onFatal: () => expect(disk.isAlive).toBe(false),
  });
}

function appendEntry(log: WriteAheadLog, bytes = 1): Promise<void> {
  const index = log.group(GROUP).lastIndex + 1;
  const data = Buffer.alloc(bytes, 'e');
  const entries = [{ index, term: TERM, kind: 'command' as const, data }];
  return log.append([{ kind: 'entries', group: GROUP, entries }]);
}

/**
 * Fills the first segment after a vote, then kills the process while it creates or starts the
 * second.
 */
async function killInSecondSegment(disk: SimulatedDisk, operation: string): Promise<void> {
  const log = await openLog(disk);
  const state = { term: TERM, votedFor: MEMBER };
  await log.append([{ kind: 'hard-state', group: GROUP, state }]);
  disk.killBefore = operation;
  const continueInSecond = appendEntry(log, SEGMENT_BYTES).then(() => appendEntry(log));
  await expect(continueInSecond).rejects.toThrow();
}

describe('a write-ahead log', () => {
  /**
   * Regression test: a killed process left a new segment without its header. After a snapshot the
   * previous segment was removed with the only record of the vote, so the member could vote twice
   * in one term.
   */
  it('recovers the vote after a kill between creating a segment and writing its header', async () => {
    const disk = new SimulatedDisk('log', { seed: 1 });
    await killInSecondSegment(disk, 'write /data/log/segment-0000000002.log');
    const log = await openLog(disk);
    await log.append([{ kind: 'snapshot', group: GROUP, mark: { index: 1, term: TERM } }]);
    disk.kill();
    const again = await openLog(disk);
    expect(again.group(GROUP).hardState).toEqual({ term: TERM, votedFor: MEMBER });
  });

  /**
   * Regression test: a killed process created a segment without syncing the folder. The next
   * process appended to it, and a power loss removed the segment with acknowledged entries.
   */
  it('keeps entries appended to a segment that a killed process did not sync into its folder', async () => {
    const disk = new SimulatedDisk('log', { seed: 1, nameDurability: 'folder-sync-only' });
    await killInSecondSegment(disk, 'sync folder /data/log');
    const log = await openLog(disk);
    await appendEntry(log);
    disk.losePower('drops-all');
    const again = await openLog(disk);
    expect(again.group(GROUP).lastIndex).toBe(2);
  });

  /**
   * Regression test: a killed process created the data folder without syncing its parents. The next
   * process did not sync them either, and a power loss removed the complete log.
   */
  it('keeps entries appended in a folder that a killed process did not sync into its parent', async () => {
    const disk = new SimulatedDisk('log', { seed: 1, nameDurability: 'folder-sync-only' });
    await expect(openLog(disk, 'open r /data')).rejects.toThrow();
    const log = await openLog(disk);
    await appendEntry(log);
    disk.losePower('drops-all');
    const again = await openLog(disk);
    expect(again.group(GROUP).lastIndex).toBe(1);
  });
});

describe('the write-ahead log with random kills and power losses', () => {
  it('keeps recovered state over a kill followed by a power loss', async () => {
    expect(await runSchedules(killThenPowerLoss, 'file-sync')).toEqual([]);
  });

  it('keeps recovered state over several kills and power losses', async () => {
    expect(await runSchedules(severalEndings, 'file-sync')).toEqual([]);
  });

  it('keeps recovered state if only a folder sync makes new file names durable', async () => {
    expect(await runSchedules(severalEndings, 'folder-sync-only')).toEqual([]);
  });
});
