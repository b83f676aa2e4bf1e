/** A process that ended for memory had no line in its log that told who held it. */
import { expect, it, onTestFinished } from 'vitest';
import type { LogFields } from '../observability/index.js';
import { MemoryBudget } from './memory-budget.js';
import { MemoryWatch } from './memory-watch.js';

const MEGABYTE = 1_000_000;

class RecordedLog {
  readonly lines: { message: string; fields: LogFields }[] = [];
  debug(): void {}
  info(): void {}
  error(): void {}
  warn(message: string, fields: LogFields = {}): void {
    this.lines.push({ message, fields });
  }
  get messages(): string[] {
    return this.lines.map(({ message }) => message);
  }
}

it('a process near its memory limit logs who holds the memory, once for each rise', () => {
  const logger = new RecordedLog();
  const budget = new MemoryBudget({ memoryLimitBytes: 100 * MEGABYTE, logger });
  const end = (): void => undefined;
  budget.hold({ kind: 'answer', peer: () => 'engine-1', end }).resize(3 * MEGABYTE);
  budget.hold({ kind: 'answer', peer: () => 'engine-1', end }).resize(3 * MEGABYTE);
  budget.hold({ kind: 'request-body', peer: () => 'caller-1', end }).resize(1 * MEGABYTE);
  let residentBytes = 50 * MEGABYTE;
  const watch = new MemoryWatch({
    memoryLimitBytes: 100 * MEGABYTE,
    budget,
    logger,
    readResidentBytes: () => residentBytes,
  });
  onTestFinished(() => watch.stop());
  watch.check();
  expect(logger.messages).toEqual([]);
  residentBytes = 80 * MEGABYTE;
  watch.check();
  watch.check();
  expect(logger.messages).toEqual(['memory nearly exhausted']);
  const { fields } = logger.lines[0]!;
  expect(JSON.parse(String(fields.largest))).toEqual([
    { peer: 'engine-1', bytes: 6 * MEGABYTE, holders: 2 },
    { peer: 'caller-1', bytes: 1 * MEGABYTE, holders: 1 },
  ]);
  expect(fields).toMatchObject({ heldBytes: 7 * MEGABYTE, holders: 3 });
  residentBytes = 50 * MEGABYTE;
  watch.check();
  residentBytes = 80 * MEGABYTE;
  watch.check();
  expect(logger.lines).toHaveLength(2);
});

it('a budget that is nearly exhausted logs who holds it before a holder is ended', () => {
  const logger = new RecordedLog();
  const budget = new MemoryBudget({ memoryLimitBytes: 100 * MEGABYTE, logger });
  const end = (): void => undefined;
  const holder = budget.hold({ kind: 'answer', peer: () => 'engine-1', end });
  holder.resize(25 * MEGABYTE);
  holder.resize(26 * MEGABYTE);
  expect(logger.messages).toEqual(['memory budget nearly exhausted']);
  holder.resize(31 * MEGABYTE);
  expect(logger.messages.at(-1)).toBe('memory budget exhausted');
  expect(logger.lines.at(-1)!.fields).toMatchObject({ peer: 'engine-1' });
});
