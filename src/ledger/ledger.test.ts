/** State machine of the ledger: budgets, allowances, kept turns and placements. */
import { describe, expect, it } from 'vitest';
import fc from 'fast-check';
import { MemoryValues } from '../../tests/support/memory-values.js';
import { createLogger } from '../observability/index.js';
import { encodeValue } from '../wire/index.js';
import { AllowanceTracker } from './allowance-tracker.js';
import { TurnHistoryCache } from './history-cache.js';
import type { LedgerCommand, ReserveResult, Settlement, SettleResult } from './ledger-commands.js';
import { LedgerStateMachine } from './ledger-state-machine.js';
import { SettlementQueue } from './settlement-queue.js';

const RETENTION_MS = 60_000;
/** Sequences that exhaust a budget while a turn draws on an allowance are rare. */
const PROPERTY_RUNS = 500;

/** Creates a state machine without peers. */
function stateMachine(values = new MemoryValues()): LedgerStateMachine {
  const readTurnsAt = () => Promise.reject(new Error('no other members'));
  return new LedgerStateMachine({ values, readTurnsAt, logger: createLogger({ test: 'ledger' }) });
}

class Ledger {
  readonly values = new MemoryValues();
  state = stateMachine(this.values);
  nowMs = 0;

  reserve(attempt: string, options: ReserveOptions = {}): ReserveResult {
    const { most = 100, budget = 1_000, previousTurn, holder, session, settlements } = options;
    const { keepsAllowance } = options;
    return this.apply({
      kind: 'reserve',
      program: 'p',
      attempt,
      budgetTokens: budget,
      mostTokens: most,
      previousTurn,
      holder,
      keepsAllowance,
      session,
      settlements,
      nowMs: this.nowMs,
    }) as ReserveResult;
  }

  settle(attempt: string, spentTokens: number, draw?: { holder: string; tokens: number }): void {
    this.settleAll([{ program: 'p', attempt, spentTokens, draw }]);
  }

  keep(attempt: string, text: string, previousTurn?: string): void {
    const input = Buffer.from(`in-${text};`);
    const output = Buffer.from(`out-${text};`);
    const kept = { previousTurn, input, output, retentionMs: RETENTION_MS };
    this.settleAll([{ program: 'p', attempt, spentTokens: 1, keep: kept }]);
  }

  settleAll(settlements: Settlement[]): SettleResult {
    return this.apply({ kind: 'settle', settlements, nowMs: this.nowMs });
  }

  async history(id: string): Promise<string | undefined> {
    return (await this.state.external.read(id, []))?.toString();
  }

  restart(): void {
    const copy = stateMachine(this.values);
    copy.restore(Buffer.concat([...this.state.snapshot()]));
    this.state = copy;
  }

  private apply(command: LedgerCommand): ReserveResult | SettleResult {
    return this.state.apply(encodeValue(command));
  }
}

/** Reserves a turn of 100 tokens of 700 as a gateway does, which gives its unused allowance up if it has to. */
function reserveAsGateway(
  ledger: Ledger,
  tracker: AllowanceTracker,
  attempt: string,
  holder: string,
): ReserveResult {
  const options = { budget: 700, holder };
  const result = ledger.reserve(attempt, { ...options, keepsAllowance: true });
  if (result.outcome === 'budget-exhausted' && tracker.surrender('p')) {
    const reclaimed = ledger.reserve(attempt, options);
    tracker.endSurrender('p', reclaimed.allowanceTokens);
    return reclaimed;
  }
  tracker.update('p', result.allowanceTokens);
  return result;
}

interface ReserveOptions {
  keepsAllowance?: boolean;
  most?: number;
  budget?: number;
  previousTurn?: string;
  holder?: string;
  session?: string;
  settlements?: Settlement[];
}

describe('a snapshot', () => {
  it('encodes many large turns in several chunks, without their values', async () => {
    const ledger = new Ledger();
    const text = 'x'.repeat(1_000);
    const turns = 10_000;
    for (let turn = 0; turn < turns; turn += 1) ledger.keep(`t${turn}`, `${turn}${text}`);
    const pieces = [...ledger.state.snapshot()];
    expect(pieces.length).toBeGreaterThan(3);
    // The snapshot does not contain the 20 MB of inputs and outputs.
    expect(Buffer.concat(pieces).length).toBeLessThan(turns * 50 + 200_000);
    ledger.restart();
    for (let turn = 0; turn < turns; turn += 500) {
      expect(await ledger.history(`t${turn}`)).toBe(`in-${turn}${text};out-${turn}${text};`);
    }
  });

  it('is a consistent copy, even if its chunks are read later', () => {
    const ledger = new Ledger();
    ledger.reserve('t0', { budget: 1_000 });
    ledger.keep('k0', 'first');
    const pieces = ledger.state.snapshot();
    ledger.settle('t0', 900);
    ledger.keep('k1', 'second');
    ledger.nowMs = RETENTION_MS * 3;
    ledger.settle('t9', 0);
    const copy = stateMachine();
    copy.restore(Buffer.concat([...pieces]));
    expect(copy.budgets.committedTokens('p')).toBe(101);
    expect(copy.turns.has('k0')).toBe(true);
    expect(copy.turns.has('k1')).toBe(false);
  });
});

describe('budgets', () => {
  it('refuse a turn whose maximum exceeds the remaining budget', () => {
    const ledger = new Ledger();
    for (let turn = 0; turn < 10; turn += 1) {
      expect(ledger.reserve(`t${turn}`).outcome).toBe('granted');
    }
    expect(ledger.reserve('t10').outcome).toBe('budget-exhausted');
    ledger.settle('t0', 40);
    expect(ledger.reserve('t11').outcome).toBe('budget-exhausted');
    ledger.settle('t1', 0);
    expect(ledger.reserve('t12').outcome).toBe('granted');
  });

  it('count duplicate reservations and settlements once', () => {
    const ledger = new Ledger();
    ledger.reserve('t', { budget: 150 });
    expect(ledger.reserve('t', { budget: 150 }).outcome).toBe('granted');
    ledger.settle('t', 50);
    ledger.settle('t', 50);
    expect(ledger.state.budgets.committedTokens('p')).toBe(50);
  });

  it('ignore a reservation that arrives after its settlement', () => {
    const ledger = new Ledger();
    ledger.settle('t', 30);
    ledger.reserve('t');
    expect(ledger.state.budgets.committedTokens('p')).toBe(30);
  });

  it('apply piggybacked settlements before the reservation', () => {
    const ledger = new Ledger();
    ledger.reserve('t0', { budget: 150 });
    expect(ledger.reserve('t1', { budget: 150 }).outcome).toBe('budget-exhausted');
    const settlements = [{ program: 'p', attempt: 't0', spentTokens: 30 }];
    expect(ledger.reserve('t2', { budget: 150, settlements }).outcome).toBe('granted');
    expect(ledger.reserve('t2', { budget: 150, settlements }).outcome).toBe('granted');
    expect(ledger.state.budgets.committedTokens('p')).toBe(130);
  });

  it('survive a restart', () => {
    const ledger = new Ledger();
    ledger.reserve('t0', { budget: 250, holder: 'g' });
    ledger.settle('t0', 100);
    ledger.reserve('t1', { budget: 250 });
    ledger.restart();
    expect(ledger.state.budgets.committedTokens('p')).toBe(200);
    expect(ledger.reserve('t2', { budget: 250 }).outcome).toBe('budget-exhausted');
  });
});

describe('allowances', () => {
  it('count as committed and take at most a quarter of the budget', () => {
    const ledger = new Ledger();
    expect(ledger.reserve('t0', { holder: 'g' }).allowanceTokens).toBe(200);
    expect(ledger.reserve('t1', { holder: 'h' }).allowanceTokens).toBe(0);
    expect(ledger.state.budgets.committedTokens('p')).toBe(400);
  });

  it('are reclaimed for turns of their holder', () => {
    const ledger = new Ledger();
    ledger.reserve('t0', { holder: 'g' });
    for (let turn = 1; turn < 10; turn += 1) {
      expect(ledger.reserve(`t${turn}`, { holder: 'g' }).outcome).toBe('granted');
    }
    expect(ledger.reserve('t10', { holder: 'g' }).outcome).toBe('budget-exhausted');
  });

  it('are charged for turns that drew on them', () => {
    const ledger = new Ledger();
    ledger.reserve('t0', { holder: 'g' });
    ledger.settle('t0', 100);
    ledger.settle('t1', 60, { holder: 'g', tokens: 60 });
    expect(ledger.state.budgets.committedTokens('p')).toBe(100 + 60 + 140);
  });

  it('are not raised by a late response to a request that was sent before a draw', () => {
    const tracker = new AllowanceTracker();
    tracker.update('p', 200);
    const version = tracker.versionOf('p');
    tracker.take('p', 100);
    tracker.confirm('p');
    tracker.update('p', 200, version);
    expect(tracker.covers('p', 101)).toBe(false);
  });

  it('are renewed with a settlement, after its draw', () => {
    const ledger = new Ledger();
    ledger.reserve('t0', { holder: 'g' });
    const renewal = { holder: 'g', budgetTokens: 1_000, mostTokens: 100 };
    const draw = { holder: 'g', tokens: 60 };
    const settlement = { program: 'p', attempt: 't1', spentTokens: 60, draw, renewal };
    expect(ledger.settleAll([settlement]).allowanceTokens).toBe(200);
    expect(ledger.state.budgets.committedTokens('p')).toBe(100 + 60 + 200);
  });

  it('never let a program exceed its budget, even if turns are not settled', () => {
    const step = fc.record({
      gateway: fc.constantFrom('g', 'g', 'h', 'i'),
      isLedgerUnavailable: fc.boolean(),
      spent: fc.oneof({ weight: 9, arbitrary: fc.constant(100) }, fc.integer({ min: 0, max: 100 })),
      settles: fc.boolean(),
      restarts: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const ledger = new Ledger();
        const trackers = new Map<string, AllowanceTracker>();
        let received = 0;
        for (const [
          index,
          { gateway, isLedgerUnavailable, spent, settles, restarts },
        ] of steps.entries()) {
          const tracker = trackers.get(gateway) ?? new AllowanceTracker();
          trackers.set(gateway, tracker);
          const attempt = `t${index}`;
          if (isLedgerUnavailable) {
            if (!tracker.take('p', 100)) continue;
            received += spent;
            tracker.refund('p', 100 - spent);
            if (!settles) continue;
            const draw = { holder: gateway, tokens: spent };
            const renewal = { holder: gateway, budgetTokens: 700, mostTokens: 100 };
            const settlement = { program: 'p', attempt, spentTokens: spent, draw, renewal };
            const { allowanceTokens } = ledger.settleAll([settlement]);
            tracker.confirm('p');
            tracker.update('p', allowanceTokens!);
          } else {
            const result = reserveAsGateway(ledger, tracker, attempt, gateway);
            if (result.outcome !== 'granted') continue;
            received += spent;
            if (settles) ledger.settle(attempt, spent);
          }
          if (restarts) ledger.restart();
        }
        expect(received).toBeLessThanOrEqual(700);
      }),
      { numRuns: PROPERTY_RUNS },
    );
  });
});

describe('kept turns', () => {
  it('are read as a chain of inputs and outputs, oldest first', async () => {
    const ledger = new Ledger();
    ledger.keep('a', '1');
    ledger.keep('b', '2', 'a');
    ledger.keep('c', '3', 'a');
    expect(await ledger.history('b')).toBe('in-1;out-1;in-2;out-2;');
    expect(await ledger.history('c')).toBe('in-1;out-1;in-3;out-3;');
  });

  it('are distinguished from unknown turns', () => {
    const ledger = new Ledger();
    ledger.keep('a', '1');
    expect(ledger.reserve('b', { previousTurn: 'a' }).outcome).toBe('granted');
    expect(ledger.reserve('c', { previousTurn: 'forged' }).outcome).toBe('unknown-predecessor');
  });

  it('retain their chain as long as the latest turn, then expire', async () => {
    const ledger = new Ledger();
    ledger.keep('a', '1');
    ledger.nowMs = 50_000;
    ledger.keep('b', '2', 'a');
    ledger.nowMs = 100_000;
    ledger.reserve('x');
    expect(await ledger.history('b')).toBe('in-1;out-1;in-2;out-2;');
    ledger.nowMs = 200_000;
    ledger.reserve('y');
    expect(await ledger.history('b')).toBeUndefined();
    expect(ledger.values.values.size).toBe(0);
    expect(ledger.reserve('z', { previousTurn: 'a' }).outcome).toBe('unknown-predecessor');
  });

  it('survive a restart', async () => {
    const ledger = new Ledger();
    ledger.keep('a', '1');
    ledger.keep('b', '2', 'a');
    ledger.restart();
    expect(await ledger.history('b')).toBe('in-1;out-1;in-2;out-2;');
  });
});

describe('placements', () => {
  function recordPlacement(
    ledger: Ledger,
    attempt: string,
    session: string,
    backend: string,
  ): void {
    const placement = { session, backend };
    ledger.settleAll([{ program: 'p', attempt, spentTokens: 1, placement }]);
  }

  it('return the backend of the previous turn of the session', () => {
    const ledger = new Ledger();
    expect(ledger.reserve('a', { session: 's' }).lastBackend).toBeUndefined();
    recordPlacement(ledger, 'a', 's', 'e1');
    recordPlacement(ledger, 'b', 't', 'e2');
    expect(ledger.reserve('c', { session: 's' }).lastBackend).toBe('e1');
    ledger.restart();
    expect(ledger.reserve('d', { session: 't' }).lastBackend).toBe('e2');
  });

  it('return the latest backend of the program for a new session', () => {
    const ledger = new Ledger();
    recordPlacement(ledger, 'a', 's', 'e1');
    recordPlacement(ledger, 'b', 's', 'e2');
    expect(ledger.reserve('c', { session: 'sub-agent' }).lastBackend).toBe('e2');
  });

  it('expire after the program has been idle', () => {
    const ledger = new Ledger();
    recordPlacement(ledger, 'a', 's', 'e1');
    ledger.nowMs = 10 * 60_000;
    expect(ledger.reserve('b', { session: 's' }).lastBackend).toBeUndefined();
  });
});

describe('settlement queue', () => {
  it('returns each settlement once, and again after it was requeued', () => {
    const queue = new SettlementQueue();
    queue.add({ program: 'p', attempt: 'a', spentTokens: 1 });
    queue.add({ program: 'p', attempt: 'b', spentTokens: 2 });
    const batch = queue.take();
    expect(batch.settlements.map(({ attempt }) => attempt)).toEqual(['a', 'b']);
    expect(queue.take().settlements).toEqual([]);
    queue.add({ program: 'p', attempt: 'c', spentTokens: 3 });
    queue.requeue(batch);
    expect(queue.take().settlements.map(({ attempt }) => attempt)).toEqual(['a', 'b', 'c']);
  });
});

describe('history cache', () => {
  it('extends cached histories and evicts the oldest beyond its limit', () => {
    const cache = new TurnHistoryCache(12);
    const add = (turn: string, before: Buffer | undefined, input: string, output: string): void => {
      const texts = { input: Buffer.from(input), output: Buffer.from(output) };
      cache.add(turn, { before, ...texts, backend: 'e', keptUntilMs: 1 });
    };
    add('a', undefined, 'i', 'o');
    add('b', cache.find('a')?.history, 'j', 'p');
    expect(cache.find('b')?.history.toString()).toBe('iojp');
    add('c', undefined, '12345', '67890');
    expect(cache.find('a')).toBeUndefined();
    expect(cache.find('c')?.history.toString()).toBe('1234567890');
  });
});
