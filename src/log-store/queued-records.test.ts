/** Recovery of records that were queued together while the disk was busy. */
import { join } from 'node:path';
import { describe, expect, it, vi } from 'vitest';
import { fuzzSeeds } from '../../tests/support/fuzz-seeds.js';
import {
  ProcessKilledError,
  SimulatedDisk,
  createDecorrelatedRandom,
} from '../../tests/support/simulated-disk.js';
import type { SeededRandom } from '../common/index.js';
import type { GroupLogState } from './group-log-state.js';
import type { LogEntry, LogRecord, SnapshotMark } from './records.js';
import { WriteAheadLog } from './write-ahead-log.js';

vi.mock('node:fs/promises', async (importOriginal) => {
  const { withSimulatedDisks } = await import('../../tests/support/simulated-disk-files.js');
  return withSimulatedDisks(await importOriginal());
});

const GROUP = 'g';
const OTHER_GROUP = 'other';
/** Small segments, so that many batches start a new one. */
const SEGMENT_BYTES = 250;
const EARLIER_TERM = 2;
const LATER_TERM = 3;

async function openLog(disk: SimulatedDisk): Promise<WriteAheadLog> {
  return WriteAheadLog.open({
    folder: join(disk.startProcess(), 'data', 'log'),
    segmentBytes: SEGMENT_BYTES,
    onFatal: (error) => expect((error as Error).cause).toBeInstanceOf(ProcessKilledError),
  });
}

function entryAt(index: number, term: number, bytes = 1): LogEntry {
  return { index, term, kind: 'command', data: Buffer.alloc(bytes, 'e') };
}

function entriesRecord(entries: LogEntry[], group = GROUP): LogRecord {
  return { kind: 'entries', group, entries };
}

function markRecord(mark: SnapshotMark, group = GROUP): LogRecord {
  return { kind: 'snapshot', group, mark };
}

function describeState({ hardState, snapshot, entries }: GroupLogState): string {
  const held = Array.from(entries, (entry) => (entry ? `${entry.index}@${entry.term}` : 'missing'));
  return `term ${hardState.term} snapshot ${snapshot.index}@${snapshot.term} ${held.join(' ')}`;
}

describe('records written in one batch', () => {
  /**
   * Regression test: a segment header written from the in-memory state placed a snapshot mark
   * before conflicting entries of the same batch. Recovery kept these entries, so the member could
   * vote for a candidate that lacked committed entries.
   */
  it('drop entries that conflict with a later snapshot mark', async () => {
    const disk = new SimulatedDisk('log', { seed: 1 });
    const log = await openLog(disk);
    const entries = [1, 2, 3].map((index) => entryAt(index, EARLIER_TERM));
    await Promise.all([
      log.append([entriesRecord(entries)]),
      log.append([markRecord({ index: 2, term: LATER_TERM })]),
    ]);
    expect(log.group(GROUP).lastTerm).toBe(LATER_TERM);
    disk.kill();
    const again = await openLog(disk);
    expect(describeState(again.group(GROUP))).toBe(describeState(log.group(GROUP)));
  });

  it('recover to the in-memory state in random orders', async () => {
    const failures: string[] = [];
    for (const seed of fuzzSeeds([], 300)) {
      const failure = await runSchedule(seed);
      if (failure) failures.push(failure);
    }
    expect(failures.slice(0, 3)).toEqual([]);
  });
});

describe('a queued snapshot mark', () => {
  /**
   * Regression test: segments were removed because of a queued snapshot mark. If the process was
   * killed before the mark was written, the recovered log had a gap after its snapshot.
   */
  it('does not allow removal of segments before it is written', async () => {
    const disk = new SimulatedDisk('log', { seed: 1 });
    const log = await openLog(disk);
    await log.append([
      entriesRecord([entryAt(1, EARLIER_TERM, SEGMENT_BYTES)]),
      entriesRecord([entryAt(1, EARLIER_TERM)], OTHER_GROUP),
    ]);
    await log.append([entriesRecord([entryAt(2, EARLIER_TERM)], OTHER_GROUP)]);
    const written = log.append([markRecord({ index: 1, term: EARLIER_TERM })]);
    await new Promise((resolve) => setImmediate(resolve));
    const waiting = log.append([markRecord({ index: 1, term: EARLIER_TERM }, OTHER_GROUP)]);
    waiting.catch(() => undefined);
    await written;
    disk.kill();
    const again = (await openLog(disk)).group(OTHER_GROUP);
    expect(describeState(again)).not.toContain('missing');
  });
});

/** @returns a description of the failure, or undefined */
async function runSchedule(seed: number): Promise<string | undefined> {
  const disk = new SimulatedDisk('log', { seed });
  const random = createDecorrelatedRandom(seed);
  let log = await openLog(disk);
  for (let round = 0; round < 4; round += 1) {
    const writes: Promise<void>[] = [];
    for (let count = random.integer(1, 8); count > 0; count -= 1) {
      writes.push(log.append(randomRecords(log.group(GROUP), random)));
      if (random.chance(0.3)) await new Promise((resolve) => setImmediate(resolve));
    }
    await Promise.all(writes);
    const expected = describeState(log.group(GROUP));
    disk.kill();
    log = await openLog(disk);
    const found = describeState(log.group(GROUP));
    if (found !== expected) return `seed ${seed}: found ${found} instead of ${expected}`;
  }
  return undefined;
}

/** Random records of a member: a vote, entries, its own snapshot mark, or one from a leader. */
function randomRecords(state: GroupLogState, random: SeededRandom): LogRecord[] {
  const { term } = state.hardState;
  const next = { term: term + 1, votedFor: undefined };
  const ownIndex = random.integer(state.snapshot.index, state.lastIndex);
  const leadersIndex = random.integer(state.snapshot.index + 1, state.lastIndex + 3);
  return random.pick<() => LogRecord[]>([
    () => [entriesRecord([entryAt(state.lastIndex + 1, term, 20)])],
    () => [entriesRecord([entryAt(state.lastIndex + 1, term, 90)])],
    () => [{ kind: 'hard-state', group: GROUP, state: next }],
    () => [markRecord({ index: ownIndex, term: state.termAt(ownIndex)! })],
    () => [
      { kind: 'hard-state', group: GROUP, state: next },
      markRecord({ index: leadersIndex, term: term + 1 }),
    ],
  ])();
}
