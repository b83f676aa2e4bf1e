/** Accounting of the memory budget, and which holder is ended when it is exhausted. */
import { describe, expect, it } from 'vitest';
import { fuzzSeeds } from '../../tests/support/fuzz-seeds.js';
import { SeededRandom } from '../common/index.js';
import { type LogFields, type Logger, createLogger } from '../observability/index.js';
import { type HolderKind, MemoryBudget, type MemoryHolder } from './memory-budget.js';

const BUDGET_BYTES = 3_000;
/** The budget is 30 % of the memory limit. */
const MEMORY_LIMIT_BYTES = 10_000;

interface LogLine {
  level: string;
  message: string;
  fields?: LogFields;
}

/** A budget of `BUDGET_BYTES` that records its log lines and the names of the ended holders. */
class RecordedBudget {
  readonly lines: LogLine[] = [];
  readonly ended: string[] = [];
  readonly budget: MemoryBudget;

  constructor(memoryLimitBytes = MEMORY_LIMIT_BYTES) {
    const record =
      (level: string): Logger['info'] =>
      (message, fields) =>
        void this.lines.push({ level, message, fields });
    const logger: Logger = {
      debug: record('debug'),
      info: record('info'),
      warn: record('warn'),
      error: record('error'),
    };
    this.budget = new MemoryBudget({ memoryLimitBytes, logger });
  }

  hold(callId: string, bytes: number, kind: HolderKind = 'answer'): MemoryHolder {
    const end = (): void => void this.ended.push(callId);
    const holder = this.budget.hold({ kind, callId, end });
    holder.resize(bytes);
    return holder;
  }
}

describe('size of the budget', () => {
  it('is 30 % of the memory limit, and the fair share a sixteenth of it', () => {
    const { budget } = new RecordedBudget(16_000_000);
    expect(budget.limitBytes).toBe(4_800_000);
    expect(budget.fairShareBytes).toBe(300_000);
  });

  // Guards against a fair share that grows with the memory of the machine.
  it('has a fair share of at most 1 MB', () => {
    expect(new RecordedBudget(10_000_000_000).budget.fairShareBytes).toBe(1024 * 1024);
  });

  it('is not limited without a memory limit', () => {
    const budget = new MemoryBudget({ logger: createLogger({}) });
    budget.hold({ kind: 'answer', end: () => expect.fail('ended') }).resize(1e12);
    expect(budget.limitBytes).toBe(Infinity);
    expect(budget.fairShareBytes).toBe(1024 * 1024);
  });
});

describe('an exhausted budget', () => {
  it('ends the largest holder, also if another one has grown', () => {
    const recorded = new RecordedBudget();
    const small = recorded.hold('small', 500);
    recorded.hold('large', 2_000);
    const grown = recorded.hold('grown', 400);
    grown.resize(700);
    expect(recorded.ended).toEqual(['large']);
    expect([small.bytes, grown.bytes]).toEqual([500, 700]);
    expect(recorded.budget.heldBytes).toBe(1_200);
  });

  it('ends no holder while it is used exactly', () => {
    const recorded = new RecordedBudget();
    recorded.hold('a', 1_000);
    recorded.hold('b', 2_000);
    expect(recorded.ended).toEqual([]);
  });

  it('ends the growing holder if that is the largest', () => {
    const recorded = new RecordedBudget();
    recorded.hold('other', 1_400);
    const growing = recorded.hold('growing', 1_500);
    growing.resize(1_700);
    expect(recorded.ended).toEqual(['growing']);
    expect(recorded.budget.heldBytes).toBe(1_400);
  });

  it('ends several holders if one does not suffice', () => {
    const recorded = new RecordedBudget();
    recorded.hold('a', 900);
    recorded.hold('b', 1_000);
    recorded.hold('c', 1_100);
    recorded.hold('d', 2_800);
    expect(recorded.ended).toEqual(['d']);
    recorded.hold('e', 1_050);
    expect(recorded.ended).toEqual(['d', 'c']);
  });

  it('logs that it is nearly exhausted, and one line for each ended holder', () => {
    const recorded = new RecordedBudget();
    recorded.hold('call-1', 2_500, 'request-body');
    recorded.hold('call-2', 600);
    expect(recorded.lines).toEqual([
      {
        level: 'warn',
        message: 'memory budget nearly exhausted',
        fields: expect.objectContaining({ heldBytes: 2_500, limitBytes: BUDGET_BYTES, holders: 1 }),
      },
      {
        level: 'warn',
        message: 'memory budget exhausted',
        fields: {
          effect: 'largest holder ended',
          kind: 'request-body',
          call: 'call-1',
          bytes: 2_500,
          heldBytes: 3_100,
          limitBytes: BUDGET_BYTES,
          holders: 2,
        },
      },
    ]);
  });

  // Guards against the end of the process by a holder whose connection fails to close.
  it('survives a holder that throws, and counts its bytes no more', () => {
    const recorded = new RecordedBudget();
    const fails = recorded.budget.hold({
      kind: 'waiting-call',
      end: () => {
        throw new Error('no connection');
      },
    });
    fails.resize(2_000);
    recorded.hold('next', 1_500);
    expect(recorded.ended).toEqual([]);
    expect(recorded.budget.heldBytes).toBe(1_500);
    expect(recorded.lines.map(({ level, message }) => [level, message])).toEqual([
      ['warn', 'memory budget nearly exhausted'],
      ['warn', 'memory budget exhausted'],
      ['error', 'memory holder not ended'],
    ]);
  });

  // Guards against bytes that are counted twice or never given back.
  it('ignores an ended holder', () => {
    const recorded = new RecordedBudget();
    const ended = recorded.hold('ended', 3_500);
    ended.resize(100);
    ended.release();
    expect(recorded.ended).toEqual(['ended']);
    expect(recorded.budget.heldBytes).toBe(0);
    expect(recorded.budget.holderCount).toBe(0);
  });

  it('may end a holder whose end releases another one', () => {
    const recorded = new RecordedBudget();
    const other = recorded.hold('other', 1_000);
    const end = (): void => other.release();
    recorded.budget.hold({ kind: 'answer', end }).resize(2_500);
    expect(recorded.budget.heldBytes).toBe(0);
  });
});

describe('a holder that leaves', () => {
  it('gives its bytes back, once', () => {
    const recorded = new RecordedBudget();
    const holder = recorded.hold('a', 2_000, 'request-body');
    holder.release();
    holder.release();
    expect(recorded.budget.heldBytes).toBe(0);
    expect(recorded.budget.heldBytesOf('request-body')).toBe(0);
    recorded.hold('b', 2_900);
    expect(recorded.ended).toEqual([]);
  });
});

describe('held bytes', () => {
  it.each(fuzzSeeds([], 50))('are the sum of all holders and within the limit, seed %i', (seed) => {
    const random = new SeededRandom(seed);
    const recorded = new RecordedBudget();
    const { budget, ended } = recorded;
    const holders = new Map<string, MemoryHolder>();
    for (let step = 0; step < 400; step += 1) {
      const name = String(random.integer(0, 20));
      const holder = holders.get(name);
      if (!holder) holders.set(name, recorded.hold(name, random.integer(0, 400)));
      else if (random.chance(0.3)) {
        holder.release();
        holders.delete(name);
      } else holder.resize(random.integer(0, 900));
      for (const left of ended.splice(0)) holders.delete(left);
      const sum = [...holders.values()].reduce((bytes, { bytes: held }) => bytes + held, 0);
      expect(budget.heldBytes).toBe(sum);
      expect(budget.heldBytes).toBeLessThanOrEqual(BUDGET_BYTES);
    }
    for (const holder of holders.values()) holder.release();
    expect([budget.heldBytes, budget.holderCount]).toEqual([0, 0]);
  });
});
