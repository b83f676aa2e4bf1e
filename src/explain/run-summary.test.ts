/** Summary of a run from its log records. */
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

describe('summarizeRun', () => {
  it('splits the latency of turns into phases that add up to the total', () => {
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

  it('groups turns and failures into time windows', () => {
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

  it('counts late and failed programs, and failures by outcome and backend', () => {
    const failure = {
      outcome: 'time-limit',
      sends: 'e1@0+0-0t/3ms:other side closed e3@9+1-5t/4ms:x',
    };
    const summary = summarizeRun([
      turn(0, { program: 'late', remainingMs: 0 }),
      turn(10, { program: 'late', remainingMs: 0 }),
      call(20, { call: 'f1', program: 'lost', ...failure }),
      call(30, { call: 'f2', program: 'saved', ...failure }),
      turn(40, { program: 'saved' }),
      call(50, { call: 'b', program: 'spent', outcome: 'budget-exhausted' }),
    ]);
    expect(summary.programs).toEqual({ seen: 4, late: 1, failed: 1 });
    expect(summary.failures).toEqual([
      { outcome: 'time-limit', backend: 'e3', calls: 2, examples: ['f1', 'f2'] },
    ]);
  });

  it('returns an empty summary for logs without calls', () => {
    const summary = summarizeRun([{ ...turn(0), event: 'process.start' }]);
    expect(summary.turns.turns).toBe(0);
    expect(summary.windows).toEqual([]);
  });
});
