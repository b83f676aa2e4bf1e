/** What the ledger records of streams: a caller must find the version that began its stream, or none. */
import { describe, expect, it } from 'vitest';
import { MemoryValues } from '../../tests/support/memory-values.js';
import { createLogger } from '../observability/index.js';
import { decodeFrames, encodeFrame, encodeValue } from '../wire/index.js';
import type { LedgerCommand, ReserveResult } from './ledger-commands.js';
import { LedgerStateMachine } from './ledger-state-machine.js';
import type { ReservedStream } from './stream-versions.js';

const KEEP_MS = 3_000;
/** Longer than any entry with `KEEP_MS` is kept, including the grace period and the interval of sweeps. */
const EXPIRED_AFTER_MS = 60_000;

function stateMachine(): LedgerStateMachine {
  const readTurnsAt = () => Promise.reject(new Error('no other members'));
  const logger = createLogger({ test: 'stream-versions' });
  return new LedgerStateMachine({ values: new MemoryValues(), readTurnsAt, logger });
}

class Ledger {
  nowMs = 0;

  constructor(readonly state = stateMachine()) {}

  begin(attempt: string, versions: string[], session?: string): ReserveResult {
    return this.reserve(attempt, { kind: 'begin', versions, keepMs: KEEP_MS }, session);
  }

  resume(attempt: string, resumed: string): ReserveResult {
    return this.reserve(attempt, { kind: 'resume', attempt: resumed });
  }

  replace(attempt: string, version: string): void {
    const streams = [{ attempt, version, keepMs: KEEP_MS }];
    this.apply({ kind: 'settle', settlements: [], streams, nowMs: this.nowMs });
  }

  /** Records where a turn of the session ran. */
  settle(attempt: string, session: string, version: string): void {
    const placement = { session, backend: `runner of ${version}`, version };
    const settlements = [{ program: 'p', attempt, spentTokens: 0, placement }];
    this.apply({ kind: 'settle', settlements, nowMs: this.nowMs });
  }

  restored(change: (head: Record<string, unknown>) => void = () => undefined): Ledger {
    const [head, ...rest] = decodeFrames(Buffer.concat([...this.state.snapshot()])) as [
      Record<string, unknown>,
      ...unknown[],
    ];
    change(head);
    const copy = stateMachine();
    copy.restore(Buffer.concat([head, ...rest].map((frame) => encodeFrame(frame))));
    return new Ledger(copy);
  }

  private reserve(attempt: string, stream: ReservedStream, session?: string): ReserveResult {
    const command: LedgerCommand = {
      kind: 'reserve',
      program: 'p',
      attempt,
      budgetTokens: 1_000,
      mostTokens: 10,
      session,
      stream,
      nowMs: this.nowMs,
    };
    return this.apply(command)!;
  }

  private apply(command: LedgerCommand): ReserveResult | undefined {
    return this.state.apply(encodeValue(command)) as ReserveResult;
  }
}

describe('a stream that a reservation begins', () => {
  it('begins at the first version of the list', () => {
    expect(new Ledger().begin('a', ['v2', 'v1']).streamVersion).toBe('v2');
  });

  it("begins at the version of the session's latest turn, if it is in the list", () => {
    const ledger = new Ledger();
    ledger.settle('before', 's', 'v1');
    expect(ledger.begin('a', ['v2', 'v1'], 's').streamVersion).toBe('v1');
    expect(ledger.begin('b', ['v3', 'v2'], 's').streamVersion).toBe('v3');
    expect(ledger.restored().begin('c', ['v2', 'v1'], 's').streamVersion).toBe('v1');
  });

  it('keeps its version if the reservation is repeated with another list', () => {
    const ledger = new Ledger();
    ledger.begin('a', ['v1']);
    expect(ledger.begin('a', ['v2']).streamVersion).toBe('v1');
  });

  it('keeps a changed version if a duplicate of the reservation is delayed', () => {
    const ledger = new Ledger();
    ledger.begin('a', ['v1', 'v2']);
    ledger.replace('a', 'v2');
    ledger.begin('a', ['v1', 'v2']);
    expect(ledger.resume('b', 'a').streamVersion).toBe('v2');
  });

  it('is not recorded if the budget is exhausted', () => {
    const ledger = new Ledger();
    for (let turn = 0; turn < 100; turn += 1) ledger.begin(`turn-${turn}`, ['v1']);
    expect(ledger.begin('a', ['v1']).outcome).toBe('budget-exhausted');
    expect(ledger.state.streams.find('a')).toBeUndefined();
  });
});

describe('a stream that a reservation resumes', () => {
  it('runs at the recorded version, also after a restart from a snapshot', () => {
    const ledger = new Ledger();
    ledger.begin('a', ['v1', 'v2']);
    expect(ledger.resume('b', 'a').streamVersion).toBe('v1');
    expect(ledger.restored().resume('c', 'a').streamVersion).toBe('v1');
  });

  it('is unknown if no version was recorded, and reserves nothing', () => {
    const ledger = new Ledger();
    expect(ledger.resume('b', 'a')).toEqual({ outcome: 'unknown-stream', allowanceTokens: 0 });
    expect(ledger.state.budgets.committedTokens('p')).toBe(0);
  });

  it('is unknown once its caller has no time left', () => {
    const ledger = new Ledger();
    ledger.begin('a', ['v1']);
    ledger.nowMs += EXPIRED_AFTER_MS;
    expect(ledger.resume('b', 'a').outcome).toBe('unknown-stream');
    expect(ledger.state.streams.size).toBe(0);
  });

  it('is unknown after a restart from a snapshot of a release that records no streams', () => {
    const ledger = new Ledger();
    ledger.begin('a', ['v1']);
    const copy = ledger.restored((head) => delete head.streams);
    expect(copy.resume('b', 'a').outcome).toBe('unknown-stream');
  });
});
