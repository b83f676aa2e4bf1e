/** Buffering of answers for slow callers, with a writer that stands in for Node's response. */
import { describe, expect, it } from 'vitest';
import { fuzzSeeds } from '../../tests/support/fuzz-seeds.js';
import { SeededRandom } from '../common/index.js';
import { createLogger } from '../observability/index.js';
import { MemoryBudget } from './memory-budget.js';
import { type AnswerWriter, OutgoingAnswer } from './outgoing-answer.js';

/** Bytes that Node buffers until it asks for a pause. */
const HIGH_WATER_MARK = 16 * 1024;
/** The fair share is 1 MB. */
const MEMORY_LIMIT_BYTES = 200_000_000;
const FAIR_SHARE_BYTES = 1024 * 1024;
const CHUNK = Buffer.alloc(10_000, 'x');

/** Buffers like a Node response; `flush` stands for a caller that reads all that Node has. */
class BufferingWriter implements AnswerWriter {
  received: Buffer[] = [];
  writableLength = 0;
  hasEnded = false;
  private needsDrain = false;
  private unsent: { chunk: Buffer; onSent: () => void }[] = [];
  private drained: () => void = () => undefined;

  write(chunk: Uint8Array, onSent: () => void): boolean {
    if (this.hasEnded) throw new Error('write after end');
    this.unsent.push({ chunk: Buffer.from(chunk), onSent });
    this.writableLength += chunk.length;
    this.needsDrain = this.writableLength >= HIGH_WATER_MARK;
    return !this.needsDrain;
  }

  end(chunk?: Uint8Array): void {
    if (chunk) this.write(chunk, () => undefined);
    this.hasEnded = true;
  }

  on(_event: 'drain', listener: () => void): void {
    this.drained = listener;
  }

  flush(): void {
    const sent = this.unsent.splice(0);
    this.received.push(...sent.map(({ chunk }) => chunk));
    this.writableLength = 0;
    for (const { onSent } of sent) onSent();
    const isDrained = this.needsDrain && !this.hasEnded;
    this.needsDrain = false;
    if (isDrained) this.drained();
  }
}

interface Setup {
  budget: MemoryBudget;
  writer: BufferingWriter;
  answer: OutgoingAnswer;
  /** What the answer has reported. */
  events: string[];
}

function setUp(memoryLimitBytes = MEMORY_LIMIT_BYTES): Setup {
  const events: string[] = [];
  const budget = new MemoryBudget({
    memoryLimitBytes,
    logger: createLogger({}),
    observer: {
      noteEnded: () => events.push('ended by budget'),
      noteAnswerPaused: () => events.push('paused'),
      noteAnswerCompletedEarly: () => events.push('completed early'),
    },
  });
  const writer = new BufferingWriter();
  const onEnded = (): void => void events.push('ended');
  return { budget, writer, answer: new OutgoingAnswer({ writer, budget, onEnded }), events };
}

/** Writes until the answer asks for a pause, four fair shares at most. @returns the number of bytes written */
function writeUntilPaused(answer: OutgoingAnswer): number {
  let written = CHUNK.length;
  while (written < 4 * FAIR_SHARE_BYTES && answer.write(CHUNK)) written += CHUNK.length;
  return written;
}

describe('an answer to a caller that does not read', () => {
  // A pause at Node's high-water mark would tie the backend to the speed of a slow caller.
  it('is taken up to the fair share', () => {
    const { answer, budget, events } = setUp();
    expect(writeUntilPaused(answer)).toBeGreaterThan(0.98 * FAIR_SHARE_BYTES);
    expect(budget.heldBytes).toBeGreaterThan(FAIR_SHARE_BYTES);
    expect(budget.heldBytes).toBeLessThan(FAIR_SHARE_BYTES + 2 * CHUNK.length);
    expect(events).toEqual(['paused']);
  });

  it('is delivered completely and in order after the backend has finished', () => {
    const { answer, writer, budget, events } = setUp();
    const lines = Array.from({ length: 5_000 }, (_, index) => Buffer.from(`event ${index};`));
    for (const line of lines) expect(answer.write(line)).toBe(true);
    answer.end();
    expect(writer.hasEnded).toBe(false);
    while (!writer.hasEnded) writer.flush();
    writer.flush();
    expect(Buffer.concat(writer.received)).toEqual(Buffer.concat(lines));
    answer.close();
    expect([budget.heldBytes, budget.holderCount]).toEqual([0, 0]);
    expect(events).toEqual(['completed early']);
  });

  it('hands the last chunk over after all others', () => {
    const { answer, writer } = setUp();
    for (let index = 0; index < 5; index += 1) answer.write(CHUNK);
    answer.end(Buffer.from('last'));
    while (!writer.hasEnded) writer.flush();
    writer.flush();
    expect(Buffer.concat(writer.received).toString()).toBe(`${'x'.repeat(50_000)}last`);
  });

  // Node frees what it has buffered as a whole: handed over at once, the fair share would keep the
  // backend paused until the caller has read all of it.
  it('lets the backend go on as soon as the caller has read a little', () => {
    const { answer, writer } = setUp();
    writeUntilPaused(answer);
    let resumed = 0;
    answer.onRoom(() => (resumed += 1));
    writer.flush();
    expect(writer.received.reduce((bytes, { length }) => bytes + length, 0)).toBeLessThan(40_000);
    expect(resumed).toBe(1);
    writer.flush();
    expect(resumed).toBe(1);
  });

  it('is broken off if it is the largest holder of an exhausted budget', () => {
    const { answer, writer, budget, events } = setUp(100_000);
    for (let index = 0; index < 5; index += 1) answer.write(CHUNK);
    expect(events).toEqual(['paused', 'ended by budget', 'ended']);
    expect([budget.heldBytes, budget.holderCount]).toEqual([0, 0]);
    expect(answer.write(CHUNK)).toBe(true);
    answer.end();
    writer.flush();
    expect(writer.hasEnded).toBe(false);
  });
});

describe('an answer to a caller that reads at once', () => {
  it('is written through', () => {
    const { answer, writer, events } = setUp();
    for (let index = 0; index < 5; index += 1) {
      expect(answer.write(CHUNK)).toBe(true);
      writer.flush();
    }
    answer.end(CHUNK);
    expect(writer.hasEnded).toBe(true);
    expect(events).toEqual([]);
  });
});

describe('bytes that the sender holds itself', () => {
  it('count towards the budget, but cause no pause', () => {
    const { answer, budget, writer } = setUp();
    answer.noteSenderBytes(2 * FAIR_SHARE_BYTES);
    expect(budget.heldBytesOf('answer')).toBe(2 * FAIR_SHARE_BYTES);
    expect(answer.write(CHUNK)).toBe(true);
    answer.noteSenderBytes(0);
    expect(budget.heldBytes).toBe(CHUNK.length);
    writer.flush();
    expect(budget.heldBytes).toBe(0);
  });
});

describe('chunks of any size and a caller of any speed', () => {
  it.each(fuzzSeeds([], 40))('seed %i', (seed) => {
    const random = new SeededRandom(seed);
    const { answer, writer, budget } = setUp(random.pick([3_000_000, MEMORY_LIMIT_BYTES]));
    const sent: Buffer[] = [];
    const readingChance = random.pick([0.01, 0.1, 0.7]);
    let isPaused = false;
    answer.onRoom(() => {
      expect(isPaused).toBe(true);
      isPaused = false;
    });
    for (let step = 0; step < 600; step += 1) {
      if (!isPaused) {
        const bytes = random.chance(0.5) ? random.integer(1, 200) : random.integer(0, 20_000);
        const chunk = Buffer.alloc(bytes, String(step % 10));
        sent.push(chunk);
        isPaused = !answer.write(chunk);
      }
      expect(budget.heldBytes).toBeGreaterThanOrEqual(writer.writableLength);
      expect(budget.heldBytes).toBeLessThan(budget.fairShareBytes + 64 * 1024);
      if (random.chance(readingChance)) writer.flush();
    }
    answer.end();
    for (let round = 0; round < 1_000 && !writer.hasEnded; round += 1) writer.flush();
    writer.flush();
    expect(Buffer.concat(writer.received).equals(Buffer.concat(sent))).toBe(true);
    answer.close();
    expect([budget.heldBytes, budget.holderCount]).toEqual([0, 0]);
  });
});
