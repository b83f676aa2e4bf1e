/** A turn that was reserved must find the turn that it continues still kept when it ends. */
import { describe, expect, it } from 'vitest';
import { MemoryValues } from '../../tests/support/memory-values.js';
import { createLogger } from '../observability/index.js';
import { encodeValue } from '../wire/index.js';
import type { LedgerCommand, ReserveResult, SettleResult } from './ledger-commands.js';
import { LedgerStateMachine } from './ledger-state-machine.js';

const RETENTION_MS = 60_000;
/** Extra retention of the ledger and its interval of sweeps. */
const GRACE_MS = 10_000;
const SWEEP_MS = 5_000;
const TURN_MS = 30_000;

class Ledger {
  readonly machine: LedgerStateMachine;
  private index = 0;

  constructor(readonly values = new MemoryValues()) {
    this.machine = new LedgerStateMachine({
      values,
      readTurnsAt: () => Promise.reject(new Error('no other members')),
      logger: createLogger({ test: 'chains' }),
    });
  }

  apply(command: LedgerCommand): ReserveResult | SettleResult {
    this.index += 1;
    return this.machine.apply(encodeValue(command), this.index);
  }

  keep(attempt: string, nowMs: number, previousTurn?: string): SettleResult {
    const keep = {
      previousTurn,
      input: Buffer.from(`${attempt};`),
      output: Buffer.from('o\n'),
      retentionMs: RETENTION_MS,
    };
    const settlements = [{ program: 'p', attempt, spentTokens: 1, keep }];
    return this.apply({ kind: 'settle', settlements, nowMs }) as SettleResult;
  }

  reserve(attempt: string, nowMs: number, previousTurn: string, holdMs = TURN_MS): ReserveResult {
    const turn = { program: 'p', attempt, mostTokens: 10, previousTurn, holdMs };
    return this.apply({ kind: 'reserve', ...turn, nowMs }) as ReserveResult;
  }

  /** Commands of other programs, with which expired turns are removed. */
  sweepUntil(fromMs: number, toMs: number): void {
    for (let nowMs = fromMs; nowMs <= toMs; nowMs += SWEEP_MS)
      this.apply({ kind: 'settle', settlements: [], nowMs });
  }

  async history(turn: string): Promise<string | undefined> {
    return (await this.machine.external.read(turn, []))?.toString();
  }
}

// Guards against a turn that was answered, and whose successors are refused until its own retention ends.
describe('a turn whose predecessor is at the end of its retention', () => {
  it('finds it kept when it ends, if it was reserved in time', async () => {
    const ledger = new Ledger();
    ledger.keep('a', 0);
    const reservedAt = RETENTION_MS - 4_000;
    expect(ledger.reserve('b', reservedAt, 'a').outcome).toBe('granted');
    const endsAt = reservedAt + TURN_MS - 1;
    ledger.sweepUntil(reservedAt, endsAt);
    expect(ledger.keep('b', endsAt, 'a').notKept).toBeUndefined();
    expect(ledger.reserve('c', endsAt + 1_000, 'b').outcome).toBe('granted');
    expect(await ledger.history('b')).toBe('a;o\nb;o\n');
  });

  it('finds the whole chain kept', async () => {
    const ledger = new Ledger();
    ledger.keep('a', 0);
    ledger.keep('b', 1_000, 'a');
    const reservedAt = RETENTION_MS;
    ledger.reserve('c', reservedAt, 'b');
    const endsAt = reservedAt + TURN_MS - 1;
    ledger.sweepUntil(reservedAt, endsAt);
    ledger.keep('c', endsAt, 'b');
    expect(await ledger.history('c')).toBe('a;o\nb;o\nc;o\n');
  });

  it('is not kept, and says so, if its predecessor is gone', async () => {
    const ledger = new Ledger();
    ledger.keep('a', 0);
    const endsAt = RETENTION_MS + GRACE_MS + SWEEP_MS;
    ledger.sweepUntil(SWEEP_MS, endsAt);
    expect(ledger.keep('b', endsAt, 'a').notKept).toBe('unknown-predecessor');
    expect(ledger.machine.turns.has('b')).toBe(false);
    expect(ledger.values.has('b')).toBe(false);
    expect(ledger.reserve('c', endsAt, 'b').outcome).toBe('unknown-predecessor');
  });

  it('stays kept if its settlement is repeated after its predecessor is gone', () => {
    const ledger = new Ledger();
    ledger.keep('a', 0);
    ledger.keep('b', 1_000, 'a');
    const later = RETENTION_MS + GRACE_MS + SWEEP_MS + 1_000;
    ledger.sweepUntil(SWEEP_MS, RETENTION_MS);
    expect(ledger.keep('b', RETENTION_MS, 'a').notKept).toBeUndefined();
    ledger.sweepUntil(RETENTION_MS, later);
    expect(ledger.machine.turns.has('b')).toBe(false);
  });

  it('has the same outcome at a member that has just restored a snapshot', () => {
    const ledger = new Ledger();
    ledger.keep('a', 0);
    // One millisecond before a sweep that removes the turn.
    const expired = RETENTION_MS + GRACE_MS + 1;
    ledger.sweepUntil(SWEEP_MS, RETENTION_MS + GRACE_MS);
    const restored = new Ledger(ledger.values);
    restored.machine.restore(Buffer.concat([...ledger.machine.snapshot()]));
    ledger.apply({ kind: 'settle', settlements: [], nowMs: expired });
    restored.apply({ kind: 'settle', settlements: [], nowMs: expired });
    const nowMs = expired + 1;
    expect(restored.reserve('b', nowMs, 'a')).toEqual(ledger.reserve('b', nowMs, 'a'));
    expect(restored.keep('c', nowMs, 'a')).toEqual(ledger.keep('c', nowMs, 'a'));
    expect(ledger.reserve('d', nowMs, 'a').outcome).toBe('unknown-predecessor');
  });
});
