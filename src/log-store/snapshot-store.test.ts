import { readFileSync, statSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { temporaryFolder } from '../../tests/support/temporary-folder.js';
import { DamagedLogError } from './errors.js';
import { SnapshotStore } from './snapshot-store.js';

const CONFIGURATION = Buffer.from('members');

function source(index: number, pieces: Iterable<Uint8Array>) {
  return { index, term: 1, configuration: CONFIGURATION, pieces };
}

function textPieces(...texts: string[]): Uint8Array[] {
  return texts.map((text) => Buffer.from(text));
}

describe('snapshot store', () => {
  it('reads a snapshot that was written in pieces', async () => {
    const store = new SnapshotStore(temporaryFolder());
    await store.write('g', source(7, textPieces('one ', '', 'two')));
    const snapshot = await store.read('g');
    expect(snapshot).toMatchObject({ index: 7, term: 1 });
    expect(Buffer.from(snapshot!.state).toString()).toBe('one two');
    expect(Buffer.from(snapshot!.configuration).toString()).toBe('members');
  });

  it('distinguishes an empty state from a missing snapshot', async () => {
    const store = new SnapshotStore(temporaryFolder());
    expect(await store.read('g')).toBeUndefined();
    await store.write('g', source(1, []));
    expect((await store.read('g'))?.state).toHaveLength(0);
  });

  it('rejects a file that is damaged or truncated at any byte', async () => {
    const folder = temporaryFolder();
    const store = new SnapshotStore(folder);
    await store.write('g', source(7, textPieces('some state')));
    const path = join(folder, 'snapshot-g');
    const bytes = readFileSync(path);
    for (let position = 0; position < bytes.length; position += 1) {
      const damaged = Buffer.from(bytes);
      damaged[position] = damaged[position]! ^ 0x20;
      writeFileSync(path, damaged);
      await expect(store.read('g'), `byte ${position}`).rejects.toBeInstanceOf(DamagedLogError);
      writeFileSync(path, bytes.subarray(0, position));
      await expect(store.read('g'), `cut at ${position}`).rejects.toBeInstanceOf(DamagedLogError);
    }
  });

  it('continues reading the old file after it was replaced', async () => {
    const store = new SnapshotStore(temporaryFolder());
    await store.write('g', source(1, textPieces('old state')));
    const reader = (await store.open('g'))!;
    const first = await reader.read(4);
    await store.write('g', source(2, textPieces('new state')));
    const rest = await reader.read(100);
    await reader.close();
    expect(Buffer.concat([first, rest]).toString()).toBe('old state');
    expect((await store.read('g'))?.index).toBe(2);
  });

  it('requests a piece only after the previous ones are written', async () => {
    const folder = temporaryFolder();
    const pieceBytes = 64 * 1024;
    const writtenWhenAsked: number[] = [];
    function* pieces(): Generator<Uint8Array> {
      for (let number = 0; number < 5; number += 1) {
        const { size } = statSync(join(folder, 'snapshot-g.new'));
        writtenWhenAsked.push(Math.floor(size / pieceBytes));
        yield Buffer.alloc(pieceBytes, number);
      }
    }
    await new SnapshotStore(folder).write('g', source(1, pieces()));
    expect(writtenWhenAsked).toEqual([0, 1, 2, 3, 4]);
  });
});
