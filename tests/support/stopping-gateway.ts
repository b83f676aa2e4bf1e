/** A gateway with fakes on all sides but the back end, for tests of the calls that a planned stop refuses or ends. */
import { SILENT_LOGGER } from '../../lab/silent-logger.js';
import { Deferred, monotonicMs } from '../../src/common/index.js';
import type { RequestGuard } from '../../src/crash-guard/index.js';
import { BackendView } from '../../src/forwarding/backend-view.js';
import type { CallExchange, Disconnector, Refusal } from '../../src/forwarding/call-exchange.js';
import { CallForwarder, type CallForwarderOptions } from '../../src/forwarding/call-forwarder.js';
import { ForwardingMetrics } from '../../src/forwarding/forwarding-metrics.js';
import { Placement } from '../../src/forwarding/placement.js';
import type { Ledger, Settlement } from '../../src/ledger/index.js';
import { type Route, RouteTable, type Service } from '../../src/routes/index.js';
import { GracefulShutdown, type ShutdownTiming } from '../../src/shutdown/index.js';
import type { PermitRefusal, PermitRequest } from '../../src/waiting/index.js';
import type { RawBackend } from './raw-backend.js';
import { rawProtocol } from './raw-sends.js';
import { sampleCall } from './sample-call.js';

/** Time limit of the calls, in milliseconds. */
export const TIMEOUT_MS = 2_000;
/** Time frame of a stop whose calls are due at once. */
const CALLS_DUE: ShutdownTiming = { graceMs: 0, noticeMs: 0, closingMs: 0 };
export const ROUTE: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'streaming',
  timeoutMs: TIMEOUT_MS,
  objectiveMs: 100,
  priority: 0,
  parts: [{ service: 's', weight: 1 }],
  maxAttempts: 2,
  retainsTurns: false,
  retentionMs: 60_000,
  hasSessionAffinity: false,
  isResumable: false,
};

/** The routes of a configuration. */
export function routeTableOf(routes: Route[], services: Service[]): RouteTable {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return new RouteTable({ generation: 1, routes, services, limits });
}

/** Records what a caller is sent, so that a second final response shows. */
export class OneAnswerExchange implements CallExchange {
  readonly arrivedAt = monotonicMs();
  readonly description = sampleCall({ id: 'a', program: { id: 'p', budgetTokens: 100 } });
  readonly events: string[] = [];
  refusal: Refusal | undefined;
  disconnectedBy: Disconnector | undefined;
  private readonly listeners: (() => void)[] = [];

  get isAbandoned(): boolean {
    return this.disconnectedBy !== undefined;
  }

  onAbandoned(listener: () => void): void {
    this.listeners.push(listener);
  }
  begin(): void {
    this.note('begin');
  }
  write(): boolean {
    this.note('write');
    return true;
  }
  onDrained(): void {}
  end(): void {
    this.note('end');
  }
  abort(by: Exclude<Disconnector, 'caller'> = 'gateway'): void {
    this.note('abort');
    this.disconnectedBy = by;
    for (const listener of this.listeners) listener();
  }
  refuse(refusal: Refusal): void {
    this.note('refuse');
    this.refusal = refusal;
  }

  private note(event: string): void {
    this.events.push(event);
  }

  /** Final responses and what came after the first. */
  get answers(): string[] {
    const first = this.events.findIndex((event) => !['begin', 'write'].includes(event));
    return first < 0 ? [] : this.events.slice(first);
  }
}

class FakeLedger {
  readonly mayLackRoom = false;
  readonly queuedSettlements = 0;
  readonly settled: Settlement[] = [];
  /** Resolves when the test lets reservations be granted; undefined: at once. */
  reservations: Deferred<void> | undefined;
  /** Same for the commits of kept turns. */
  commits: Deferred<void> | undefined;
  reservationsBegun = 0;
  commitsBegun = 0;

  async reserve(): Promise<{ outcome: 'granted' }> {
    this.reservationsBegun += 1;
    await this.reservations?.promise;
    return { outcome: 'granted' };
  }
  async settle(settlement: Settlement): Promise<void> {
    this.commitsBegun += 1;
    await this.commits?.promise;
    this.settled.push(settlement);
  }
  settleLater(settlement: Settlement): void {
    this.settled.push(settlement);
  }
  expectedOutageMsOf(): number {
    return 0;
  }
  delayMsOf(): number {
    return 0;
  }
  recordStreamLater(): void {}
}

/** A guard that takes the request for suspect, and admits sends when the test says so. */
export class FakeGuard {
  readonly isSuspect = true;
  readonly isBlocked = false;
  readonly key = 'k';
  readonly admission = new Deferred<void>();
  /** Resolves when a lost response is counted; undefined: at once. */
  losses: Deferred<void> | undefined;
  requests = 0;
  openSends = 0;
  lossesBegun = 0;

  async requestSend(candidates: string[]): Promise<unknown> {
    this.requests += 1;
    await this.admission.promise;
    this.openSends += 1;
    return { kind: 'granted', backend: candidates[0], permit: 1 };
  }
  async noteLost(): Promise<void> {
    this.openSends -= 1;
    this.lossesBegun += 1;
    await this.losses?.promise;
  }
  noteAnswered(): void {
    this.openSends -= 1;
  }
  noteStopped(): void {
    this.openSends -= 1;
  }
  async settle(): Promise<void> {}
}

export class StoppingGateway {
  readonly ledger = new FakeLedger();
  readonly shutdown = new GracefulShutdown();
  readonly permitsEnded: boolean[] = [];
  tokensTaken = 0;
  readonly metrics = new ForwardingMetrics();
  permitsRequested = 0;
  /** Whether calls wait for a permit until `grantPermits` or until they leave the queue. */
  keepsCallsWaiting = false;
  private readonly waiting: Deferred<PermitRefusal | undefined>[] = [];
  /** Decides on permits in place of `grantPermits`. */
  decidePermit: (() => Promise<PermitRefusal | undefined>) | undefined;
  /** Resolves when tenants' limits are decided; undefined: at once. */
  limits: Deferred<void> | undefined;
  /** The routes in force. */
  routes: RouteTable | undefined;
  readonly forwarder: CallForwarder;

  constructor(
    readonly backend: RawBackend,
    route: Partial<Route> = {},
    guard?: FakeGuard,
    quotas?: CallForwarderOptions['quotas'],
  ) {
    const limits = { connections: () => 128, cacheTokens: () => Infinity, gateways: () => 1 };
    const backends = new BackendView(limits);
    const identity = { id: 'e1', name: 'e1', service: 's', address: backend.address, zone: 'z' };
    const state = { slots: 6, phase: 'ready' as const, sequence: 1, isSilent: false };
    backends.update([{ ...identity, ...state }]);
    const tenant = { name: 't', keyHashes: [], priority: 1, ratePerSecond: 5, burst: 5 };
    this.routes = routeTableOf([{ ...ROUTE, ...route }], [{ name: 's', maxConnections: 10 }]);
    this.forwarder = new CallForwarder({
      routes: () => this.routes,
      directoryAgeMs: () => 0,
      findServiceVersions: () => Promise.reject(new Error('no directory in this test')),
      access: () => ({ kind: 'allowed', tenant }),
      quotas: quotas ?? {
        take: async () => {
          this.tokensTaken += 1;
          await this.limits?.promise;
          return { isAllowed: true };
        },
        describe: () => ({}),
      },
      backends,
      placement: new Placement({ zone: 'z' }),
      ledger: this.ledger as unknown as Ledger,
      protocol: rawProtocol,
      logger: SILENT_LOGGER,
      metrics: this.metrics,
      permits: { request: () => this.requestPermit() },
      crashGuard: guard && { guard: () => guard as unknown as RequestGuard },
      shutdown: this.shutdown,
    });
  }

  /** Has the calls ended as at the end of a stop. */
  async end(): Promise<void> {
    this.shutdown.begin(CALLS_DUE);
    await this.forwarder.interruptCalls();
  }

  grantPermits(): void {
    for (const decision of this.waiting) decision.resolve(undefined);
  }

  private requestPermit(): PermitRequest {
    this.permitsRequested += 1;
    const decision = new Deferred<PermitRefusal | undefined>();
    if (this.decidePermit) void this.decidePermit().then((refusal) => decision.resolve(refusal));
    else if (this.keepsCallsWaiting) this.waiting.push(decision);
    else decision.resolve(undefined);
    const end = (wasSent: boolean): void => {
      this.permitsEnded.push(wasSent);
      decision.resolve(undefined);
    };
    return { decision: decision.promise, waitedMs: undefined, waitedBehind: undefined, end };
  }
}
