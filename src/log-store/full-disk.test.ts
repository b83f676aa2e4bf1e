/**
 * A disk that is full, accepts partial writes, or stalls must neither lose data nor end the
 * process.
 */
import { describe, expect, it } from 'vitest';
import { FaultyDisk } from '../../tests/support/faulty-disk.js';
import { temporaryFolder } from '../../tests/support/temporary-folder.js';
import { sleep } from '../common/index.js';
import { StorageFullError } from './errors.js';
import type { LogEntry } from './records.js';
import { WriteAheadLog } from './write-ahead-log.js';

function entry(index: number): LogEntry {
  return { index, term: 1, kind: 'command', data: Buffer.from(`entry-${index}`) };
}

const entries = (index: number) => [
  { kind: 'entries' as const, group: 'g', entries: [entry(index)] },
];

interface OpenLog {
  log: WriteAheadLog;
  fatal: unknown[];
  /** Reported changes of the disk state, in order. */
  reports: boolean[];
}

async function open(folder: string, disk: FaultyDisk, segmentBytes?: number): Promise<OpenLog> {
  const fatal: unknown[] = [];
  const reports: boolean[] = [];
  const log = await WriteAheadLog.open({
    folder,
    segmentBytes,
    openFile: disk.openFile,
    onFatal: (error) => void fatal.push(error),
    onFullChange: (isFull) => void reports.push(isFull),
  });
  return { log, fatal, reports };
}

/** Last index recovered from the folder with an intact disk. */
async function lastIndexAfterRestart(folder: string, segmentBytes?: number): Promise<number> {
  const { log } = await open(folder, new FaultyDisk(), segmentBytes);
  const { lastIndex } = log.group('g');
  await log.close();
  return lastIndex;
}

/** Whether a promise resolves within a short time. */
async function isResolvedSoon(promise: Promise<unknown>): Promise<boolean> {
  return Promise.race([promise.then(() => true), sleep(150).then(() => false)]);
}

describe('full disk', () => {
  it('delays writes until there is space, rejects new entries, and reports the state once', async () => {
    const folder = temporaryFolder();
    const disk = new FaultyDisk();
    const { log, fatal, reports } = await open(folder, disk);
    await log.append(entries(1));
    disk.freeBytes = 0;
    const held = log.append(entries(2));
    expect(await isResolvedSoon(held)).toBe(false);
    expect(() => log.append(entries(3))).toThrow(StorageFullError);
    const vote = log.append([
      { kind: 'hard-state', group: 'g', state: { term: 2, votedFor: 'a' } },
    ]);
    expect(await isResolvedSoon(vote)).toBe(false);
    disk.freeBytes = undefined;
    await Promise.all([held, vote]);
    await log.append(entries(3));
    await log.close();
    expect({ fatal, reports }).toEqual({ fatal: [], reports: [true, false] });
    const again = await open(folder, new FaultyDisk());
    expect(again.log.group('g').entries.map(({ index }) => index)).toEqual([1, 2, 3]);
    expect(again.log.group('g').hardState).toEqual({ term: 2, votedFor: 'a' });
    await again.log.close();
  });

  it('never treats a partial write as complete', async () => {
    const folder = temporaryFolder();
    const disk = new FaultyDisk();
    const { log, fatal } = await open(folder, disk);
    await log.append(entries(1));
    disk.freeBytes = 10;
    const held = log.append(entries(2));
    expect(await isResolvedSoon(held)).toBe(false);
    disk.freeBytes = undefined;
    await held;
    await log.close();
    expect(fatal).toEqual([]);
    expect(await lastIndexAfterRestart(folder)).toBe(2);
  });

  it('continues in the current segment when there is no space for the next one', async () => {
    const folder = temporaryFolder();
    const disk = new FaultyDisk();
    const { log, fatal } = await open(folder, disk, 64);
    disk.freeBytes = 60;
    const writes: Promise<void>[] = [];
    for (let index = 1; index <= 4; index += 1) {
      try {
        writes.push(log.append(entries(index)));
      } catch (error) {
        expect(error).toBeInstanceOf(StorageFullError);
        break;
      }
      await sleep(30);
    }
    disk.freeBytes = undefined;
    await Promise.all(writes);
    const next = log.group('g').lastIndex + 1;
    await log.append(entries(next));
    await log.close();
    expect(fatal).toEqual([]);
    expect(await lastIndexAfterRestart(folder, 64)).toBe(next);
  });

  it('allows the log to be closed with unacknowledged writes pending', async () => {
    const folder = temporaryFolder();
    const disk = new FaultyDisk();
    const { log, fatal } = await open(folder, disk);
    await log.append(entries(1));
    disk.freeBytes = 0;
    void log.append(entries(2));
    await sleep(30);
    await log.close();
    expect(fatal).toEqual([]);
    expect(await lastIndexAfterRestart(folder)).toBe(1);
  });

  it('ignores errors of the idle sync marker', async () => {
    const disk = new FaultyDisk();
    const { log, fatal } = await open(temporaryFolder(), disk);
    await log.append(entries(1));
    disk.freeBytes = 0;
    await sleep(100);
    disk.freeBytes = undefined;
    await log.append(entries(2));
    await log.close();
    expect(fatal).toEqual([]);
  });

  it('overwrites a partial sync marker', async () => {
    const folder = temporaryFolder();
    const disk = new FaultyDisk();
    const { log, fatal } = await open(folder, disk);
    await log.append(entries(1));
    disk.freeBytes = 5;
    await sleep(100);
    disk.freeBytes = undefined;
    await log.append(entries(2));
    await log.close();
    expect(fatal).toEqual([]);
    expect(await lastIndexAfterRestart(folder)).toBe(2);
  });

  it('continues in the current segment when the next file cannot be created', async () => {
    const folder = temporaryFolder();
    const disk = new FaultyDisk();
    const { log, fatal } = await open(folder, disk, 16);
    const written = log.append(entries(1));
    disk.refusesNewFiles = true;
    await written;
    disk.refusesNewFiles = false;
    await log.append(entries(2));
    await log.close();
    expect(fatal).toEqual([]);
    expect(await lastIndexAfterRestart(folder, 16)).toBe(2);
  });
});
