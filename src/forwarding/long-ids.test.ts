/** What is remembered of callers' ids, which were kept with the whole headers that they came in. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { expect, it } from 'vitest';
import { ProgramMemory } from '../admission/program-memory.js';
import { PromptCacheView } from './prompt-cache-view.js';

const IDS = 2_000;
const HEADER_BYTES = 16 * 1024;
const PARTS = 2;
/** The ids alone are a sixtieth of the headers. */
const MAX_HELD_BYTES = (IDS * HEADER_BYTES) / 4;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** A header of its own each, as the parser makes it. */
function headerOf(index: number, idLength: number): string {
  const id = String(index).padStart(idLength, '0');
  return Buffer.from(`${id},${'x'.repeat(HEADER_BYTES - idLength)}`).toString('latin1');
}

function heldBytesBy(remember: () => unknown): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const remembered = remember();
  collectGarbage();
  const held = process.memoryUsage().heapUsed - before;
  expect(remembered).toBeDefined();
  return held;
}

it.each([40, HEADER_BYTES / 2])(
  'parts of prompts hold their ids only, of %i characters',
  (length) => {
    const held = heldBytesBy(() => {
      const view = new PromptCacheView(() => Infinity);
      for (let index = 0; index < IDS; index += 1) {
        const [id] = headerOf(index, length).split(',', PARTS);
        view.noteSent([{ id: id!, tokens: 1 }]);
        expect(view.missingTokens([{ id: id!, tokens: 1 }])).toBe(0);
      }
      return view;
    });
    expect(held).toBeLessThan(MAX_HELD_BYTES);
  },
);

it.each([40, HEADER_BYTES / 2])('programs hold their ids only, of %i characters', (length) => {
  const held = heldBytesBy(() => {
    const programs = new ProgramMemory();
    for (let index = 0; index < IDS; index += 1) {
      const [id] = headerOf(index, length).split(',', PARTS);
      programs.noteBegun(id!, index);
      expect(programs.hasBegun(id!)).toBe(true);
    }
    return programs;
  });
  expect(held).toBeLessThan(MAX_HELD_BYTES);
});
