/** Kept turns while the ledger is temporarily unreachable. */
import { describe, expect, it } from 'vitest';
import { waitUntil } from '../../tests/support/wait-until.js';
import { monotonicMs, sleep } from '../common/index.js';
import { GroupClient, type PeerCaller } from '../consensus/index.js';
import {
  LedgerClient,
  LedgerRouter,
  type NotKeptReason,
  RESERVE,
  type ReserveResponse,
  SETTLE,
  type SettleRequest,
} from '../ledger/index.js';
import { createLogger } from '../observability/index.js';
import { CompiledRoute, type Route, type Service } from '../routes/index.js';
import type { Method } from '../wire/index.js';
import type { CallExchange } from './call-exchange.js';
import type { CallOutcome, CallRun } from './call-run.js';
import { ForwardingMetrics } from './forwarding-metrics.js';
import { RefusedError, TurnReservations } from './turn-reservations.js';

const ALLOWANCE = 200;
const MOST_TOKENS = 100;
const TOKENS_PER_EVENT = 10;
const EVENTS = 3;
const TYPICAL_TURN_MS = 50;
const ROUTE: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'streaming',
  timeoutMs: 3_000,
  objectiveMs: 200,
  priority: 0,
  parts: [{ service: 's', weight: 1 }],
  maxAttempts: 1,
  retainsTurns: true,
  retentionMs: 60_000,
  hasSessionAffinity: true,
  isResumable: false,
};

const ENGINE = { slots: 4, cacheTokens: 1_000, tokensPerEvent: TOKENS_PER_EVENT };
const SERVICES = new Map<string, Service>([
  ['s', { name: 's', maxConnections: 10, engine: ENGINE }],
]);

class SwitchableLedger implements PeerCaller {
  isUp = true;
  /** Additional fields of granted reservations. */
  granted: Partial<Pick<ReserveResponse, 'missingHistory' | 'outcome'>> = {};
  /** Why settled turns are not kept, if so. */
  notKept: NotKeptReason | undefined;
  readonly settled: SettleRequest[] = [];

  isConnected(): boolean {
    return this.isUp;
  }

  async call<Request, Response>(
    _address: string,
    method: Method<Request, Response>,
    request: Request,
  ): Promise<Response> {
    if (!this.isUp) throw new Error('no response');
    if (method.name === SETTLE.name) this.settled.push(request as SettleRequest);
    const answer =
      method.name === RESERVE.name
        ? { outcome: 'granted', allowanceTokens: ALLOWANCE, ...this.granted }
        : { isSettled: true, notKept: this.notKept };
    return { answer } as Response;
  }
}

function exchangeOf(id: string, previousTurn?: string): CallExchange {
  const program = { id: 'p', session: 's', budgetTokens: 1_000 };
  const body = Buffer.from(`input of ${id};`);
  const description = { id, program, previousTurn, mostTokens: MOST_TOKENS, body };
  return { description, arrivedAt: monotonicMs() } as CallExchange;
}

class KeptTurns {
  readonly ledger = new SwitchableLedger();
  readonly metrics = new ForwardingMetrics();
  private readonly reservations: TurnReservations;

  constructor(private readonly route = ROUTE) {
    const logger = createLogger({});
    const groups = new GroupClient({ peers: this.ledger, addresses: ['leader'] });
    this.reservations = new TurnReservations({
      ledger: new LedgerRouter(() => new LedgerClient(groups, logger, 'gateway')),
      logger,
      metrics: this.metrics,
    });
  }

  /** Runs a turn from its reservation to its settlement. */
  async run(
    id: string,
    previousTurn?: string,
    leftMs = ROUTE.timeoutMs,
  ): Promise<{ settled: Promise<CallOutcome> }> {
    const exchange = exchangeOf(id, previousTurn);
    const deadlineMs = monotonicMs() + leftMs;
    const { route } = this;
    const reservation = await this.reservations.reserve(exchange, route, {
      deadlineMs,
      typicalMs: TYPICAL_TURN_MS,
    });
    const response = {
      events: EVENTS,
      isStream: true,
      takeOutput: () => Buffer.from(`${id} out;`),
    };
    const settled = this.reservations.settle({
      exchange,
      run: { response, serviceName: 's', completeSend: { backend: 'e1' } } as unknown as CallRun,
      ending: { kind: 'answered' },
      route: new CompiledRoute(route, SERVICES),
      reservation: reservation!,
      deadlineMs,
    });
    return { settled };
  }
}

describe('a kept turn while no ledger leader responds', () => {
  it('runs on the allowance and ends once it is committed', async () => {
    const turns = new KeptTurns();
    await (
      await turns.run('a')
    ).settled;
    turns.ledger.isUp = false;
    const { settled } = await turns.run('b', 'a');
    let ending: CallOutcome | undefined;
    void settled.then((known) => (ending = known));
    await sleep(100);
    expect(ending).toBeUndefined();
    turns.ledger.isUp = true;
    expect(await settled).toEqual({ kind: 'answered' });
    const settlement = turns.ledger.settled.flatMap(({ settlements }) => settlements).at(-1)!;
    expect(settlement.draw).toEqual({ holder: 'gateway', tokens: EVENTS * TOKENS_PER_EVENT });
    expect(settlement.keep?.previousTurn).toBe('a');
    const placement = { session: 's', backend: 'e1', version: 'backend e1' };
    expect(settlement.placement).toEqual(placement);
  });

  it('runs on the allowance even with less time left than a typical turn takes', async () => {
    const turns = new KeptTurns();
    await (
      await turns.run('a')
    ).settled;
    turns.ledger.isUp = false;
    await expect(turns.run('b', 'a', TYPICAL_TURN_MS / 2)).resolves.toBeDefined();
    turns.ledger.isUp = true;
  });

  it('is refused if the previous turn may expire before it ends, although it is cached', async () => {
    const turns = new KeptTurns({ ...ROUTE, retentionMs: ROUTE.timeoutMs - 1 });
    await (
      await turns.run('a')
    ).settled;
    turns.ledger.isUp = false;
    await expect(turns.run('b', 'a')).rejects.toBeInstanceOf(RefusedError);
  });

  it('is refused if the previous turn is not cached', async () => {
    const turns = new KeptTurns();
    await (
      await turns.run('a')
    ).settled;
    turns.ledger.isUp = false;
    await expect(turns.run('c', 'of another gateway')).rejects.toBeInstanceOf(RefusedError);
  });
});

describe('a turn that the ledger settles without keeping it', () => {
  it('is broken off at once', async () => {
    const turns = new KeptTurns();
    turns.ledger.notKept = 'unknown-predecessor';
    const startedAt = monotonicMs();
    const { settled } = await turns.run('a');
    expect(await settled).toEqual({ kind: 'broken-off' });
    expect(monotonicMs() - startedAt).toBeLessThan(ROUTE.timeoutMs / 2);
    turns.ledger.isUp = false;
    await expect(turns.run('b', 'a')).rejects.toBeInstanceOf(RefusedError);
  });
});

describe('a turn for which the ledger has no room', () => {
  it('is refused before it runs, with a retry delay', async () => {
    const turns = new KeptTurns();
    turns.ledger.granted = { outcome: 'no-room' };
    const error = await turns.run('a').catch((reason: unknown) => reason);
    expect(error).toBeInstanceOf(RefusedError);
    expect(error).toMatchObject({ reason: 'no-room', retryAfterMs: 1_000 });
  });

  it('is refused before it runs, although an allowance covers it', async () => {
    const turns = new KeptTurns();
    await (
      await turns.run('a')
    ).settled;
    turns.ledger.notKept = 'no-room';
    const { settled } = await turns.run('b', 'a');
    expect(await settled).toEqual({ kind: 'broken-off' });
    turns.ledger.granted = { outcome: 'no-room' };
    await expect(turns.run('c', 'a')).rejects.toMatchObject({ reason: 'no-room' });
  });
});

describe('a turn whose history is missing', () => {
  async function refusalOf(turns: KeptTurns): Promise<RefusedError> {
    const error = await turns.run('c', 'of another gateway').catch((reason: unknown) => reason);
    expect(error).toBeInstanceOf(RefusedError);
    return error as RefusedError;
  }

  it('is refused with a retry delay, and the log names the failed step and the leader', async () => {
    const turns = new KeptTurns();
    turns.ledger.granted = { missingHistory: { reason: '2 kept turns are held by no member' } };
    const refusal = await refusalOf(turns);
    expect(refusal.reason).toBe('history-missing');
    expect(refusal.retryAfterMs).toBeGreaterThanOrEqual(1_000);
    expect(refusal.details).toMatchObject({ failedStep: 'read-history', leader: 'leader' });
    const counted = await turns.metrics.registry.metrics();
    expect(counted).toContain('ledgegauge_failed_reservations_total{step="read-history"} 1');
  });

  it.each([{ missingHistory: { reason: 'none' } }, {}])(
    'releases its reserved tokens: %j',
    async (granted) => {
      const turns = new KeptTurns();
      turns.ledger.granted = granted;
      await refusalOf(turns);
      await waitUntil('settled', () => turns.ledger.settled.length > 0);
      const [settlement] = turns.ledger.settled.flatMap(({ settlements }) => settlements);
      expect(settlement).toMatchObject({ attempt: 'c', spentTokens: 0 });
    },
  );
});
