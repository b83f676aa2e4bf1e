/** Turns of a gateway that is cut off: they must not be held until their deadline for a ledger that cannot answer. */
import { describe, expect, it } from 'vitest';
import { SignalEvent, monotonicMs, sleep } from '../common/index.js';
import { GroupClient, type PeerCaller } from '../consensus/index.js';
import { LedgerClient, RESERVE } from '../ledger/index.js';
import { createLogger } from '../observability/index.js';
import type { Method } from '../wire/index.js';
import { CutOffSignal } from './cut-off-signal.js';

const USEFUL_MS = 2_000;
/** Silence of the ledger from which it counts as an outage, and some time. */
const OUTAGE_MS = 300;
const AT_ONCE_MS = 50;
const ALLOWANCE_TOKENS = 1_000;

/** A ledger whose requests are delayed until a partition ends. */
class PartitionedLedger implements PeerCaller {
  isReachable = true;
  requests = 0;
  private readonly healed = new SignalEvent();

  heal(): void {
    this.isReachable = true;
    this.healed.notify();
  }

  isConnected(): boolean {
    return true;
  }

  async call<Request, Response>(
    _address: string,
    method: Method<Request, Response>,
  ): Promise<Response> {
    this.requests += 1;
    if (!this.isReachable) await this.healed.wait();
    const answer =
      method.name === RESERVE.name
        ? { outcome: 'granted', allowanceTokens: ALLOWANCE_TOKENS }
        : { isSettled: true };
    return { answer } as Response;
  }
}

class CutOffGateway {
  readonly peers = new PartitionedLedger();
  readonly signal = new CutOffSignal();
  readonly ledger: LedgerClient;

  constructor() {
    const groups = new GroupClient({ peers: this.peers, addresses: ['leader'] });
    const logger = createLogger({});
    const none = undefined;
    this.ledger = new LedgerClient(groups, logger, 'gateway', none, none, this.signal);
  }

  /** @returns the result or the error, and after how many milliseconds it came */
  async reserve(
    attempt: string,
    mayUseAllowance = false,
  ): Promise<{ result: unknown; ms: number }> {
    const startedAt = monotonicMs();
    const request = { program: 'p', attempt, mostTokens: 100, budgetTokens: 10_000 };
    const turn = { ...request, wantsHistory: true };
    const result = await this.ledger
      .reserve(turn as never, USEFUL_MS, mayUseAllowance)
      .catch((error: unknown) => error);
    return { result, ms: monotonicMs() - startedAt };
  }
}

describe('a turn that needs a ledger that is cut off', () => {
  it('is refused at once, and again once the partition is over it is served', async () => {
    const gateway = new CutOffGateway();
    gateway.peers.isReachable = false;
    void gateway.reserve('a');
    await sleep(OUTAGE_MS);
    gateway.signal.set(true);
    const { result, ms } = await gateway.reserve('b');
    expect(result).toBeInstanceOf(Error);
    expect(ms).toBeLessThan(AT_ONCE_MS);
    expect(gateway.ledger.expectedOutageMs).toBeGreaterThan(0);
    gateway.peers.heal();
    gateway.signal.set(false);
    const served = await gateway.reserve('c');
    expect(served.ms).toBeLessThan(AT_ONCE_MS);
    expect(served.result).toMatchObject({ outcome: 'granted' });
  });

  it('stops waiting when the gateway is found to be cut off', async () => {
    const gateway = new CutOffGateway();
    gateway.peers.isReachable = false;
    const waiting = gateway.reserve('a');
    await sleep(OUTAGE_MS);
    const cutOffAt = monotonicMs();
    gateway.signal.set(true);
    const { result } = await waiting;
    expect(String(result)).toContain('cut off');
    expect(monotonicMs() - cutOffAt).toBeLessThan(AT_ONCE_MS);
  });

  it('still runs on an allowance that covers it', async () => {
    const gateway = new CutOffGateway();
    await gateway.reserve('a');
    gateway.peers.isReachable = false;
    const waiting = gateway.reserve('b', true);
    await sleep(AT_ONCE_MS);
    gateway.signal.set(true);
    expect((await waiting).result).toMatchObject({ outcome: 'granted', allowanceTaken: 100 });
    const next = await gateway.reserve('c', true);
    expect(next.result).toMatchObject({ allowanceTaken: 100 });
    expect(next.ms).toBeLessThan(AT_ONCE_MS);
  });

  it('waits for a new leader as before while the gateway is not cut off', async () => {
    const gateway = new CutOffGateway();
    gateway.peers.isReachable = false;
    const waiting = gateway.reserve('a');
    await sleep(OUTAGE_MS);
    const settled = await Promise.race([waiting, sleep(OUTAGE_MS).then(() => 'waiting')]);
    expect(settled).toBe('waiting');
  });
});

describe('the observed contact with the ledger', () => {
  it('is silent only while a request is unanswered or has just failed', async () => {
    const { ledger, peers } = new CutOffGateway();
    expect(ledger.silenceMs).toBe(0);
    await ledger.probe();
    expect(peers.requests).toBe(1);
    expect(ledger.answeredAgeMs).toBeLessThan(AT_ONCE_MS);
    await sleep(AT_ONCE_MS);
    expect(ledger.silenceMs).toBe(0);
    peers.isReachable = false;
    void ledger.probe();
    void ledger.probe();
    await sleep(AT_ONCE_MS);
    expect(ledger.silenceMs).toBeGreaterThanOrEqual(AT_ONCE_MS / 2);
    expect(peers.requests).toBe(2);
  });
});
