/** When, where and why programs were lost. */
import { describe, expect, it } from 'vitest';
import type { LogRecord } from './log-record.js';
import { summarizeLosses } from './lost-programs.js';

const START = Date.parse('2026-01-01T00:00:00.000Z');

function call(endMs: number, program: string, fields: Record<string, unknown>): LogRecord {
  return {
    time: new Date(START + endMs).toISOString(),
    level: 'info',
    event: 'call',
    process: 'gateway',
    node: 'edge-east-12',
    fields: { program, route: 'chat', outcome: 'answered', ms: 100, firstMs: 40, ...fields },
  };
}

const LATE_BEHIND_LEDGER = { reserveMs: 200, keepMs: 150, ms: 500, firstMs: 260, remainingMs: 0 };

describe('summarizeLosses', () => {
  it('names what took longest in the calls of a late program', () => {
    const { reasons } = summarizeLosses([
      call(500, 'a', LATE_BEHIND_LEDGER),
      call(500, 'b', { ms: 900, firstMs: 100, remainingMs: 0 }),
      call(500, 'c', { ms: 900, firstMs: 850, waitedMs: 600, remainingMs: 0 }),
      call(500, 'd', {}),
    ]);
    expect(reasons.map(({ name }) => name).sort()).toEqual([
      'late behind generating',
      'late behind ledger',
      'late behind waiting',
    ]);
  });

  it('counts a program that was refused and served later as served', () => {
    const refusal = { outcome: 'not-admitted', ledgerDelayMs: 90, ms: 1 };
    const { lost, begun } = summarizeLosses([call(100, 'a', refusal), call(900, 'a', {})]);
    expect([begun, lost]).toEqual([1, 0]);
  });

  it('names outcome, failed step and the delay of the ledger of programs without an answer', () => {
    const { reasons, places, routes } = summarizeLosses([
      call(100, 'a', { outcome: 'not-admitted', ledgerDelayMs: 90 }),
      call(100, 'b', { outcome: 'journal-unavailable', failedStep: 'find-leader' }),
      call(100, 'c', { outcome: 'budget-exhausted' }),
    ]);
    expect(reasons).toEqual([
      { name: 'refused, not-admitted by the delay of the ledger', programs: 1 },
      { name: 'failed, journal-unavailable at find-leader', programs: 1 },
    ]);
    expect(places).toEqual([{ name: 'edge-east', programs: 2 }]);
    expect(routes[0]!.name).toBe('chat: refused, not-admitted by the delay of the ledger');
  });

  it('counts programs in the window in which they began', () => {
    const { windows } = summarizeLosses([
      call(100, 'a', {}),
      call(2_600, 'b', LATE_BEHIND_LEDGER),
      call(2_900, 'c', {}),
    ]);
    expect(windows).toEqual([
      { fromSecond: 0, begun: 1, late: 0, refused: 0, failed: 0, mainReason: '' },
      { fromSecond: 2, begun: 2, late: 1, refused: 0, failed: 0, mainReason: 'late behind ledger' },
    ]);
  });

  it('reads runs of more programs than a call may have arguments', () => {
    const records = Array.from({ length: 200_000 }, (_, number) => call(500, `p${number}`, {}));
    expect(summarizeLosses(records).begun).toBe(records.length);
  });

  it('is empty for logs without programs', () => {
    expect(summarizeLosses([])).toMatchObject({ begun: 0, lost: 0, windows: [] });
  });
});
