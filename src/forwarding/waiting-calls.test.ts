/** Calls that wait for a permit: a refused one is never sent, and the tokens reserved for it are released. */
import { describe, expect, it } from 'vitest';
import { SILENT_LOGGER } from '../../lab/silent-logger.js';
import { sampleCall } from '../../tests/support/sample-call.js';
import { unusedTokens } from '../../tests/support/unused-tokens.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { monotonicMs } from '../common/index.js';
import { GroupClient, type PeerCaller } from '../consensus/index.js';
import {
  LedgerClient,
  LedgerRouter,
  RESERVE,
  SETTLE,
  type SettleRequest,
} from '../ledger/index.js';
import { type RouteConfiguration, RouteTable } from '../routes/index.js';
import type { PermitCall, PermitRefusal, PermitRequest } from '../waiting/index.js';
import type { Method } from '../wire/index.js';
import type { BackendProtocol } from './backend-protocol.js';
import { BackendView } from './backend-view.js';
import type { CallExchange, Refusal } from './call-exchange.js';
import { CallForwarder } from './call-forwarder.js';
import { ForwardingMetrics } from './forwarding-metrics.js';
import { Placement } from './placement.js';

const TIMEOUT_MS = 1_000;
const RETRY_MS = 700;
const CONFIGURATION: RouteConfiguration = {
  generation: 1,
  routes: [
    {
      name: 'r',
      host: 'h',
      pathPrefix: '/',
      kind: 'streaming',
      timeoutMs: TIMEOUT_MS,
      objectiveMs: 100,
      priority: 3,
      parts: [{ service: 's', weight: 1 }],
      maxAttempts: 2,
      retainsTurns: false,
      retentionMs: 0,
      hasSessionAffinity: false,
      isResumable: false,
    },
  ],
  services: [{ name: 's', maxConnections: 10 }],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

class LeavingExchange implements CallExchange {
  readonly arrivedAt = monotonicMs();
  readonly description = sampleCall({
    id: 'a',
    program: { id: 'p', budgetTokens: 100, remainingMs: 900 },
    promptParts: [
      { id: 'shared', tokens: 10 },
      { id: 'own', tokens: 10 },
    ],
    body: Buffer.from('input'),
  });
  isAbandoned = false;
  refusal: Refusal | undefined;
  private readonly listeners: (() => void)[] = [];

  onAbandoned(listener: () => void): void {
    this.listeners.push(listener);
  }
  leave(): void {
    this.isAbandoned = true;
    for (const listener of this.listeners) listener();
  }
  begin(): void {}
  write(): boolean {
    return true;
  }
  onDrained(): void {}
  end(): void {}
  abort(): void {}
  refuse(refusal: Refusal): void {
    this.refusal = refusal;
  }
}

class RecordingLedger implements PeerCaller {
  readonly settled: SettleRequest[] = [];

  isConnected(): boolean {
    return true;
  }

  async call<Request, Response>(
    _address: string,
    method: Method<Request, Response>,
    request: Request,
  ): Promise<Response> {
    if (method.name === SETTLE.name) this.settled.push(request as SettleRequest);
    const isReservation = method.name === RESERVE.name;
    return { answer: isReservation ? { outcome: 'granted' } : { isSettled: true } } as Response;
  }
}

/** A gateway whose only backend must not get any call, with a gate that the test decides for. */
class WaitingGateway {
  readonly ledger = new RecordingLedger();
  readonly requested: PermitCall[] = [];
  readonly ended: boolean[] = [];
  readonly metrics = new ForwardingMetrics();
  encodedRequests = 0;
  decide: ((refusal: PermitRefusal | undefined) => void) | undefined;
  readonly forwarder: CallForwarder;

  constructor() {
    const backends = new BackendView({
      connections: () => 1,
      cacheTokens: () => Infinity,
      gateways: () => 1,
    });
    const identity = { id: 'e1', name: 'e1', service: 's', address: '127.0.0.1:1', zone: 'z' };
    const state = { slots: 6, phase: 'ready' as const, sequence: 1, isSilent: false };
    backends.update([{ ...identity, ...state }]);
    const tenant = { name: 't', keyHashes: [], priority: 1, ratePerSecond: 5, burst: 5 };
    this.forwarder = new CallForwarder({
      routes: () => new RouteTable(CONFIGURATION),
      directoryAgeMs: () => 0,
      findServiceVersions: () => Promise.reject(new Error('no directory in this test')),
      access: () => ({ kind: 'allowed', tenant }),
      quotas: {
        take: () => Promise.resolve({ isAllowed: true }),
        describe: () => ({}),
      },
      backends,
      placement: new Placement({ zone: 'z' }),
      ledger: new LedgerRouter(
        () =>
          new LedgerClient(
            new GroupClient({ peers: this.ledger, addresses: ['leader'] }),
            SILENT_LOGGER,
            'holder',
          ),
      ),
      protocol: {
        encodeRequest: () => {
          this.encodedRequests += 1;
          throw new Error('no call may be sent');
        },
      } as unknown as BackendProtocol,
      logger: SILENT_LOGGER,
      metrics: this.metrics,
      permits: { request: (call) => this.requestPermit(call) },
    });
  }

  /** Resolves once the call waits for its permit. */
  async waitForRequest(): Promise<void> {
    await waitUntil('permit requested', () => this.requested.length > 0);
  }

  private requestPermit(call: PermitCall): PermitRequest {
    this.requested.push(call);
    const decision = new Promise<PermitRefusal | undefined>((resolve) => (this.decide = resolve));
    const end = (wasSent: boolean): void => {
      this.ended.push(wasSent);
      this.decide!(undefined);
    };
    return { decision, waitedMs: undefined, waitedBehind: undefined, end };
  }
}

async function expectNothingSpent(gateway: WaitingGateway): Promise<void> {
  await waitUntil('settled', () => gateway.ledger.settled.length > 0);
  const settlements = gateway.ledger.settled.flatMap((request) => request.settlements);
  expect(settlements).toMatchObject([{ spentTokens: 0 }]);
  expect(await unusedTokens(gateway.metrics)).toBe(1);
  expect(gateway.encodedRequests).toBe(0);
}

describe('a call that waits for a permit', () => {
  it('tells what the order depends on; the priority of the tenant overrides that of the route', async () => {
    const gateway = new WaitingGateway();
    const exchange = new LeavingExchange();
    const handled = gateway.forwarder.handle(exchange);
    await gateway.waitForRequest();
    expect(gateway.requested).toMatchObject([
      {
        service: 's',
        priority: 1,
        tenant: 't',
        hasBegun: false,
        programRemainingMs: 900,
        bytes: 5,
      },
    ]);
    expect(gateway.requested[0]!.deadlineMs).toBeCloseTo(exchange.arrivedAt + TIMEOUT_MS, 0);
    exchange.leave();
    await handled;
  });

  it('is refused as overloaded without having been sent, with the retry delay of the queue', async () => {
    const gateway = new WaitingGateway();
    const exchange = new LeavingExchange();
    const handled = gateway.forwarder.handle(exchange);
    await gateway.waitForRequest();
    gateway.decide!({ retryAfterMs: RETRY_MS });
    await handled;
    expect(exchange.refusal?.reason).toBe('overloaded');
    expect(exchange.refusal?.retryAfterMs).toBeGreaterThanOrEqual(RETRY_MS);
    await expectNothingSpent(gateway);
  });

  it('leaves the queue when its caller leaves, and is not sent', async () => {
    const gateway = new WaitingGateway();
    const exchange = new LeavingExchange();
    const handled = gateway.forwarder.handle(exchange);
    await gateway.waitForRequest();
    exchange.leave();
    expect(gateway.ended).toEqual([false]);
    await handled;
    expect(exchange.refusal).toBeUndefined();
    await expectNothingSpent(gateway);
  });

  it('leaves the queue at its deadline, even if the gate does not refuse it', async () => {
    const gateway = new WaitingGateway();
    const exchange = new LeavingExchange();
    await gateway.forwarder.handle(exchange);
    expect(gateway.ended[0]).toBe(false);
    expect(exchange.refusal?.reason).toBe('time-limit-before-start');
    await expectNothingSpent(gateway);
  });
});
