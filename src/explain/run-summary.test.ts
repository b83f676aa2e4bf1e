/** What the logs of a run add up to. */
import { describe, expect, it } from 'vitest';
import { summarizeRun } from './run-summary.js';
import type { LogRecord } from './log-record.js';

const START = Date.parse('2026-01-01T00:00:00.000Z');

function call(atMs: number, fields: Record<string, unknown>): LogRecord {
  return {
    time: new Date(START + atMs).toISOString(),
    level: 'info',
    event: 'call',
    process: 'gateway',
    node: 'g1',
    fields: { outcome: 'answered', ...fields },
  };
}

function turn(atMs: number, fields: Record<string, unknown> = {}): LogRecord {
  const times = { ms: 300, firstMs: 110, reserveMs: 10, keepMs: 5 };
  return call(atMs, {
    call: `t${atMs}`,
    program: 'p',
    sends: 'e1@0+0:complete',
    ...times,
    ...fields,
  });
}

describe('the account of a run', () => {
  it('divides the time of turns into parts that add up to the whole', () => {
    const { turns } = summarizeRun([
      turn(0),
      turn(100, { ms: 500, sends: 'e1@0+0:broken e2@0+0:complete' }),
    ]);
    expect(turns.turns).toBe(2);
    expect(turns.sentAgain).toBe(1);
    const { ledgerMs, firstEventMs, generatingMs, keepingMs } = turns;
    expect([ledgerMs, firstEventMs, keepingMs]).toEqual([10, 100, 5]);
    expect(ledgerMs + firstEventMs + generatingMs + keepingMs).toBe(400);
  });

  it('shows turns and failures by the second', () => {
    const failure = call(4_100, {
      call: 'f',
      outcome: 'time-limit',
      program: 'q',
      sends: 'e3@9+1:x',
    });
    const { windows } = summarizeRun([turn(0), turn(1_900), failure]);
    expect(windows.map(({ fromSecond, turns, failed }) => [fromSecond, turns, failed])).toEqual([
      [0, 2, 0],
      [4, 0, 1],
    ]);
  });

  it('tells late and failed programs, and failures by reason and back end', () => {
    const failure = {
      outcome: 'time-limit',
      sends: 'e1@0+0-0t/3ms:other side closed e3@9+1-5t/4ms:x',
    };
    const account = summarizeRun([
      turn(0, { program: 'late', remainingMs: 0 }),
      turn(10, { program: 'late', remainingMs: 0 }),
      call(20, { call: 'f1', program: 'lost', ...failure }),
      call(30, { call: 'f2', program: 'saved', ...failure }),
      turn(40, { program: 'saved' }),
      call(50, { call: 'b', program: 'spent', outcome: 'budget-exhausted' }),
    ]);
    expect(account.programs).toEqual({ seen: 4, late: 1, failed: 1 });
    expect(account.failures).toEqual([
      { outcome: 'time-limit', backend: 'e3', calls: 2, examples: ['f1', 'f2'] },
    ]);
  });

  it('has nothing to tell of logs without calls', () => {
    const account = summarizeRun([{ ...turn(0), event: 'process.start' }]);
    expect(account.turns.turns).toBe(0);
    expect(account.windows).toEqual([]);
  });
});
