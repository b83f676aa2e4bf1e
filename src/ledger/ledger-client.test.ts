/**
 * Gateways made an election of the ledger last: each turn that waited asked one member after the other every
 * few hundredths of a second, each with all settlements that had not been delivered, and whoever led
 * next began with the questions of seconds. Lines `reservation failed` named six members in turn, for
 * `not the leader` and `leading, but not current yet`, and a leader that was current lost its lead again.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { describeError, monotonicMs, sleep } from '../common/index.js';
import { GroupClient, type PeerCaller } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import type { Method } from '../wire/index.js';
import { LedgerClient } from './ledger-client.js';
import { HistoryMissingError } from './ledger-errors.js';
import { RESERVE, type ReserveRequest, type SettleRequest } from './messages.js';

const MEMBERS = ['m1', 'm2', 'm3', 'm4', 'm5'];
const USEFUL_MS = 2_000;
/** Turns of one gateway a second. */
const TURNS_PER_S = 20;
const TURN_INTERVAL_MS = 1_000 / TURNS_PER_S;
/** Questions that one gateway may put a second to members of which none leads. */
const MOST_PROBES_PER_S = 30;
/** Reservations that one gateway may have under way. */
const MOST_UNDER_WAY = 16;
const AWAY_S = 3;
/** How long a leader takes to find that no member holds a history, the wait for heartbeats included. */
const MISSING_MS = 160;
/** How long one member may take over a reservation before others are asked. */
const TRY_MS = 250;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Members of which the first leads, unless none does; answers take a time that a test sets. */
class Members implements PeerCaller {
  isLed = true;
  /** Whether the leader refuses, since the group has more to do than it commits in time. */
  isOverloaded = false;
  answerMs = 2;
  /** Questions, reservations that were told to the leader, and settlements in all of them. */
  questions = 0;
  settlements = 0;
  underWay = 0;
  mostUnderWay = 0;
  readonly askedAt: number[] = [];
  readonly settled = new Set<string>();

  isConnected(): boolean {
    return true;
  }

  async call<Request, Response>(
    address: string,
    method: Method<Request, Response>,
    request: Request,
  ): Promise<Response> {
    this.questions += 1;
    this.askedAt.push(monotonicMs());
    const { settlements = [] } = request as ReserveRequest | SettleRequest;
    this.settlements += settlements.length;
    if (address !== MEMBERS[0] || !this.isLed) {
      await sleep(1);
      return {
        leaderAddress: this.isLed ? MEMBERS[0] : undefined,
        refusal: 'not the leader',
      } as Response;
    }
    if (this.isOverloaded) {
      await sleep(this.answerMs);
      return { refused: { error: 'GroupOverloadedError', message: 'overloaded' } } as Response;
    }
    if ((request as ReserveRequest).previousTurn !== undefined) {
      await sleep(MISSING_MS);
      const missingHistory = { reason: 'held by no member' };
      return { answer: { outcome: 'granted', allowanceTokens: 0, missingHistory } } as Response;
    }
    this.underWay += 1;
    this.mostUnderWay = Math.max(this.mostUnderWay, this.underWay);
    await sleep(this.answerMs);
    this.underWay -= 1;
    for (const { attempt } of settlements) this.settled.add(attempt);
    const isReservation = method.name === RESERVE.name;
    const answer = isReservation ? { outcome: 'granted', allowanceTokens: 0 } : { isSettled: true };
    return { answer } as Response;
  }
}

class Gateway {
  readonly members = new Members();
  granted = 0;
  /** Turns that were refused since their history is missing. */
  missing = 0;
  /** The longest that a granted turn took. */
  slowestMs = 0;
  /** Why turns were not granted. */
  readonly reasons = new Set<string>();
  private turns = 0;
  private readonly client: LedgerClient;

  constructor() {
    const groups = new GroupClient({ peers: this.members, addresses: MEMBERS });
    this.client = new LedgerClient(groups, createLogger({}), 'gateway');
  }

  /** Turns arrive evenly, are granted or not, and are settled at once. */
  async play(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += TURN_INTERVAL_MS) {
      void this.turn();
      await vi.advanceTimersByTimeAsync(TURN_INTERVAL_MS);
    }
  }

  get queuedSettlements(): number {
    return this.client.queuedSettlements;
  }

  /** Turns whose history no member holds arrive evenly. */
  async playMissing(ms: number, intervalMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += intervalMs) {
      void this.missingTurn(passedMs);
      await sleep(intervalMs);
    }
  }

  get expectedOutageMs(): number {
    return this.client.expectedOutageMs;
  }

  private async missingTurn(number: number): Promise<void> {
    const id = `missing-${number}`;
    const turn = { program: id, attempt: id, previousTurn: 'lost' };
    const request = { ...turn, mostTokens: 100, wantsHistory: true };
    const reserved = this.client.reserve(request, USEFUL_MS, false);
    await expect(reserved).rejects.toBeInstanceOf(HistoryMissingError);
    this.client.settleLater({ program: id, attempt: id, spentTokens: 0 });
    this.missing += 1;
  }

  private async turn(): Promise<void> {
    const startedAt = monotonicMs();
    const attempt = `turn-${this.turns}`;
    const program = `program-${this.turns}`;
    this.turns += 1;
    const request = { program, attempt, mostTokens: 100, wantsHistory: false };
    try {
      await this.client.reserve(request, USEFUL_MS, false);
      this.granted += 1;
      this.slowestMs = Math.max(this.slowestMs, monotonicMs() - startedAt);
    } catch (error) {
      this.reasons.add(describeError(error));
    }
    this.client.settleLater({ program, attempt, spentTokens: 10 });
  }
}

describe('a gateway whose ledger has no leader', () => {
  it('asks as one, however many turns wait', async () => {
    const gateway = new Gateway();
    await gateway.play(1_000);
    gateway.members.isLed = false;
    const before = gateway.members.questions;
    await gateway.play(AWAY_S * 1_000);
    expect(gateway.members.questions - before).toBeLessThan(AWAY_S * MOST_PROBES_PER_S);
  });

  it('sends settlements again no more than a tenth as often as it sends any', async () => {
    const gateway = new Gateway();
    await gateway.play(1_000);
    gateway.members.isLed = false;
    await gateway.play(AWAY_S * 1_000);
    gateway.members.isLed = true;
    await gateway.play(5_000);
    await vi.advanceTimersByTimeAsync(1_000);
    const { settled, settlements } = gateway.members;
    expect(gateway.queuedSettlements).toBe(0);
    expect(settlements).toBeLessThan(1.1 * settled.size);
  });

  it('serves turns again within a second of its return, a few at first', async () => {
    const gateway = new Gateway();
    await gateway.play(1_000);
    gateway.members.isLed = false;
    await gateway.play(AWAY_S * 1_000);
    const { members } = gateway;
    members.isLed = true;
    members.answerMs = 100;
    const returnedAt = monotonicMs();
    await gateway.play(150);
    const first = members.askedAt.filter((at) => at > returnedAt).length;
    expect(first).toBeLessThan(10);
    const { granted } = gateway;
    await gateway.play(850);
    expect(gateway.granted - granted).toBeGreaterThan(TURNS_PER_S / 2);
  });
});

describe('a gateway beside turns whose history is missing', () => {
  it.each([50, 200, 1_000])(
    'grants others as if there were none, one every %i ms',
    async (everyMs) => {
      const gateway = new Gateway();
      const missing = gateway.playMissing(AWAY_S * 1_000, everyMs);
      for (let passedMs = 0; passedMs < AWAY_S * 1_000; passedMs += TURN_INTERVAL_MS) {
        await gateway.play(TURN_INTERVAL_MS);
        expect(gateway.expectedOutageMs).toBe(0);
      }
      await vi.advanceTimersByTimeAsync(1_000);
      await missing;
      expect(gateway.missing).toBe((AWAY_S * 1_000) / everyMs);
      expect([...gateway.reasons]).toEqual([]);
      expect(gateway.slowestMs).toBeLessThan(TRY_MS);
      expect(gateway.queuedSettlements).toBe(0);
    },
  );
});

describe('a gateway whose leader refuses for a while', () => {
  it('says so, asks as one, and is granted turns again within a second', async () => {
    const gateway = new Gateway();
    await gateway.play(1_000);
    const { members } = gateway;
    const before = members.questions;
    members.isOverloaded = true;
    await gateway.play(AWAY_S * 1_000);
    expect(members.questions - before).toBeLessThan(AWAY_S * MOST_PROBES_PER_S);
    expect(gateway.reasons.size).toBeGreaterThan(0);
    for (const reason of gateway.reasons) expect(reason).toMatch(/overloaded|too many wait/);
    members.isOverloaded = false;
    const { granted } = gateway;
    await gateway.play(1_000);
    expect(gateway.granted - granted).toBeGreaterThan(TURNS_PER_S / 2);
  });
});

describe('a gateway whose ledger answers slowly', () => {
  it('has a bounded number of reservations under way', async () => {
    const gateway = new Gateway();
    await gateway.play(1_000);
    gateway.members.answerMs = 1_900;
    await gateway.play(5_000);
    expect(gateway.members.mostUnderWay).toBeLessThanOrEqual(MOST_UNDER_WAY + 2);
  });

  it('lets each settlement that nobody waits for ride with a reservation', async () => {
    const gateway = new Gateway();
    await gateway.play(5_000);
    const turns = 5 * TURNS_PER_S;
    expect(gateway.members.questions).toBeLessThan(1.1 * turns);
  });
});
