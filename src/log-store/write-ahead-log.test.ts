import { readFileSync, readdirSync, truncateSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { temporaryFolder } from '../../tests/support/temporary-folder.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { DamagedLogError, StorageFullError } from './errors.js';
import type { LogEntry } from './records.js';
import { WriteAheadLog } from './write-ahead-log.js';

function entry(index: number, term = 1, text = `entry-${index}`): LogEntry {
  return { index, term, kind: 'command', data: Buffer.from(text) };
}

function open(folder: string, options: Partial<{ quotaBytes: number; segmentBytes: number }> = {}) {
  const onFatal = (error: unknown): never => {
    throw error;
  };
  return WriteAheadLog.open({ folder, onFatal, ...options });
}

async function writeEntries(folder: string, count: number): Promise<void> {
  const log = await open(folder);
  for (let index = 1; index <= count; index += 1) {
    await log.append([{ kind: 'entries', group: 'g', entries: [entry(index)] }]);
  }
  await log.close();
}

function segmentPath(folder: string): string {
  const names = readdirSync(folder).sort();
  return join(folder, names.at(-1)!);
}

describe('write-ahead log', () => {
  it('recovers synced entries', async () => {
    const folder = temporaryFolder();
    await writeEntries(folder, 3);
    const log = await open(folder);
    const texts = log.group('g').entries.map(({ data }) => Buffer.from(data).toString());
    expect(texts).toEqual(['entry-1', 'entry-2', 'entry-3']);
    await log.close();
  });

  it('keeps votes and truncates entries replaced by a new leader', async () => {
    const folder = temporaryFolder();
    const log = await open(folder);
    await log.append([
      { kind: 'hard-state', group: 'g', state: { term: 4, votedFor: 'me' } },
      { kind: 'entries', group: 'g', entries: [entry(1), entry(2), entry(3)] },
      { kind: 'truncate', group: 'g', fromIndex: 2 },
      { kind: 'entries', group: 'g', entries: [entry(2, 4)] },
    ]);
    await log.close();
    const again = await open(folder);
    expect(again.group('g').hardState).toEqual({ term: 4, votedFor: 'me' });
    expect(again.group('g').entries.map(({ index, term }) => [index, term])).toEqual([
      [1, 1],
      [2, 4],
    ]);
    await again.close();
  });

  it('truncates a torn tail and continues from there', async () => {
    const folder = temporaryFolder();
    await writeEntries(folder, 3);
    const path = segmentPath(folder);
    truncateSync(path, readFileSync(path).length - 3);
    const log = await open(folder);
    expect(log.group('g').lastIndex).toBe(2);
    await log.append([{ kind: 'entries', group: 'g', entries: [entry(3, 2)] }]);
    await log.close();
    const again = await open(folder);
    expect(again.group('g').termAt(3)).toBe(2);
    await again.close();
  });

  it('refuses to start when synced data in the middle is damaged', async () => {
    const folder = temporaryFolder();
    await writeEntries(folder, 4);
    const path = segmentPath(folder);
    const bytes = readFileSync(path);
    const position = bytes.indexOf('entry-2');
    bytes[position] = bytes[position]! ^ 0x01;
    writeFileSync(path, bytes);
    await expect(open(folder)).rejects.toBeInstanceOf(DamagedLogError);
  });

  it('distinguishes damage to the last synced record from a torn write after idling', async () => {
    const folder = temporaryFolder();
    const log = await open(folder);
    await log.append([{ kind: 'entries', group: 'g', entries: [entry(1)] }]);
    const path = segmentPath(folder);
    const length = readFileSync(path).length;
    await waitUntil('marker written', () => readFileSync(path).length > length);
    await log.close();
    const bytes = readFileSync(path);
    const position = bytes.indexOf('entry-1');
    bytes[position] = bytes[position]! ^ 0x01;
    writeFileSync(path, bytes);
    await expect(open(folder)).rejects.toBeInstanceOf(DamagedLogError);
  });

  it('removes segments covered by snapshots', async () => {
    const folder = temporaryFolder();
    const log = await open(folder, { segmentBytes: 256 });
    for (let index = 1; index <= 40; index += 1) {
      await log.append([{ kind: 'entries', group: 'g', entries: [entry(index)] }]);
    }
    expect(readdirSync(folder).length).toBeGreaterThan(3);
    await log.append([{ kind: 'snapshot', group: 'g', mark: { index: 40, term: 1 } }]);
    expect(readdirSync(folder).length).toBeLessThanOrEqual(2);
    await log.close();
    const again = await open(folder);
    expect(again.group('g').lastIndex).toBe(40);
    await again.close();
  });

  it('recovers all entries after the snapshot when earlier segments have been removed', async () => {
    const folder = temporaryFolder();
    const log = await open(folder, { segmentBytes: 256 });
    const append = async (first: number, last: number): Promise<void> => {
      for (let index = first; index <= last; index += 1) {
        await log.append([{ kind: 'entries', group: 'g', entries: [entry(index)] }]);
      }
    };
    const snapshot = (index: number): Promise<void> =>
      log.append([{ kind: 'snapshot', group: 'g', mark: { index, term: 1 } }]);
    await append(1, 40);
    // The remaining segments start with marks of snapshots older than their entries.
    await snapshot(33);
    await append(41, 60);
    await snapshot(45);
    await log.close();
    const again = await open(folder, { segmentBytes: 256 });
    const state = again.group('g');
    expect(state.lastIndex).toBe(60);
    let bytes = 0;
    for (let index = state.snapshot.index + 1; index <= 60; index += 1) {
      const found = state.entryAt(index);
      expect(found?.index).toBe(index);
      expect(Buffer.from(found!.data).toString()).toBe(`entry-${index}`);
      bytes += found!.data.length;
    }
    expect(state.heldBytes).toBe(bytes);
    await again.close();
  });

  /**
   * Regression test: a snapshot mark referred to an entry in a removed segment. Recovery treated
   * the known entries as conflicting and dropped them, which left a gap after the next mark.
   */
  it('keeps entries after a mark whose own entry was in a removed segment', async () => {
    const folder = temporaryFolder();
    const log = await open(folder, { segmentBytes: 1_000 });
    const append = (...indexes: number[]): Promise<void> =>
      log.append([{ kind: 'entries', group: 'g', entries: indexes.map((index) => entry(index)) }]);
    const large = 'x'.repeat(1_000);
    await log.append([{ kind: 'entries', group: 'g', entries: [entry(1, 1, large)] }]);
    const compactTo = (index: number): Promise<void> =>
      log.append([{ kind: 'snapshot', group: 'g', mark: { index, term: 1 } }]);
    await append(2, 3, 4);
    await compactTo(1);
    await append(5);
    await compactTo(3);
    await append(6);
    await log.close();
    expect(readdirSync(folder)).toHaveLength(1);
    const again = await open(folder);
    const { snapshot, entries } = again.group('g');
    expect(snapshot.index).toBe(3);
    expect(entries.map(({ index }) => index)).toEqual([4, 5, 6]);
    await again.close();
  });

  it('rejects entries before the quota is used up, but still accepts votes', async () => {
    const log = await open(temporaryFolder(), { quotaBytes: 1_000 });
    const large = entry(1, 1, 'x'.repeat(950));
    expect(() => log.append([{ kind: 'entries', group: 'g', entries: [large] }])).toThrow(
      StorageFullError,
    );
    expect(log.group('g').lastIndex).toBe(0);
    await log.append([{ kind: 'hard-state', group: 'g', state: { term: 1, votedFor: 'a' } }]);
    await log.close();
  });
});
