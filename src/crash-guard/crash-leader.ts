/**
 * Leader side: counts the back ends that ended under each request, grants permits to send such requests again, and tells the
 * gateways. All state is soft; after a change of leaders, gateways report what they hold.
 */
import { ChangeHistory, SignalEvent, monotonicMs } from '../common/index.js';
import { type LeaderAnswer, type ReplicatedGroup, answerAsLeader } from '../consensus/index.js';
import type { Logger } from '../observability/index.js';
import type { Method, MethodRouter } from '../wire/index.js';
import type { CrashLimits } from './crash-limits.js';
import { CrashTable, type PermitDecision } from './crash-table.js';
import {
  type AliveReport,
  CONFIRM_LOSSES,
  type ConfirmationRequest,
  type CrashVersion,
  type CrashView,
  LIST_CRASHES,
  type LossReport,
  type LossReportAnswer,
  type OutcomeReport,
  REMOVE_CRASHES,
  REPORT_ALIVE,
  REPORT_LOSSES,
  REPORT_OUTCOME,
  REQUEST_SEND,
  type SendPermitRequest,
  isLater,
} from './messages.js';
import type { RequestKey } from './request-key.js';

export interface CrashLeaderOptions {
  limits: CrashLimits;
  /** Interval between heartbeats of a back end, in milliseconds. */
  heartbeatIntervalMs: number;
  term: () => number;
  /** Called when gateways must learn of a change at once. */
  onUrgentChange: () => void;
  /** Resolves once active gateways hold the version, or after a time limit. */
  confirm: (version: CrashVersion) => Promise<void>;
  logger: Logger;
  /** Monotonic, in milliseconds. @default the process's clock */
  clock?: () => number;
}

/**
 * Time without a watch request after which a gateway counts as gone, in milliseconds: five long polls, since a wrong verdict
 * counts an end that did not happen.
 */
const GATEWAY_GONE_MS = 1_000;
const EXPIRY_INTERVAL_MS = 1_000;
/** Heartbeats that arrive closer together than this fraction of their interval may have been delayed together. */
const HEARTBEAT_SPACING_FRACTION = 0.5;
const NOTED = { isNoted: true } as const;

export class CrashLeader {
  private readonly table: CrashTable;
  private readonly history = new ChangeHistory();
  private readonly changed = new SignalEvent();
  private readonly gatewaysHeardAt = new Map<string, number>();
  private readonly clock: () => number;
  private count = 1;
  private expiredAt = 0;

  constructor(private readonly options: CrashLeaderOptions) {
    const { limits, heartbeatIntervalMs, clock = monotonicMs } = options;
    this.clock = clock;
    this.table = new CrashTable({
      limits,
      heartbeatSpacingMs: heartbeatIntervalMs * HEARTBEAT_SPACING_FRACTION,
      isGatewayActive: (gateway, now) =>
        now - (this.gatewaysHeardAt.get(gateway) ?? 0) < GATEWAY_GONE_MS,
      onChange: (key) => this.noteChange(key),
    });
  }

  register(router: MethodRouter, findGroup: () => ReplicatedGroup | undefined): void {
    const handle = <Request, Answer>(
      method: Method<Request, LeaderAnswer<Answer>>,
      answer: (request: Request) => Promise<Answer>,
    ): void =>
      router.handle(method, (request) => answerAsLeader(findGroup(), () => answer(request)));
    handle(REPORT_LOSSES, (report) => this.reportLosses(report));
    handle(REQUEST_SEND, (request) => this.requestSend(request));
    handle(CONFIRM_LOSSES, async (request) => {
      await this.confirmLosses(request);
      return NOTED;
    });
    handle(REPORT_OUTCOME, async (report) => {
      this.reportOutcome(report);
      return NOTED;
    });
    handle(REPORT_ALIVE, async (report) => {
      this.reportAlive(report);
      return NOTED;
    });
    handle(LIST_CRASHES, async () => ({ requests: this.table.list(this.clock()) }));
    handle(REMOVE_CRASHES, async ({ key }) => ({ wasKnown: this.removeByOperator(key) }));
  }

  get version(): CrashVersion {
    return { term: this.options.term(), count: this.count };
  }

  /** Requests of which ends are known. */
  get suspectCount(): number {
    return this.table.size;
  }

  get blockedCount(): number {
    return this.table.blockedCount;
  }

  /** What has changed since a version; undefined if nothing has, or a later leader's version is held. */
  viewSince(held: CrashVersion): CrashView | undefined {
    const { version } = this;
    const holdsNothing = held.term === 0 && this.table.size === 0;
    if (holdsNothing || !isLater(version, held)) return undefined;
    const changed = held.term === version.term ? this.history.changedAfter(held.count) : undefined;
    if (!changed) return { version, suspects: this.suspects(this.table.keys()), removed: [] };
    const isSuspect = (key: RequestKey): boolean => this.table.endsOf(key).length > 0;
    const suspects = this.suspects([...changed].filter(isSuspect));
    const removed = [...changed].filter((key) => !isSuspect(key));
    return { version, afterCount: held.count, suspects, removed };
  }

  /** Must be called for each watch request of a gateway. */
  noteGateway(gateway: string): void {
    this.gatewaysHeardAt.set(gateway, this.clock());
  }

  noteHeartbeat(backend: string): void {
    this.table.noteHeartbeat(backend, this.clock());
  }

  /** Must be called regularly. */
  expire(): void {
    const now = this.clock();
    if (now - this.expiredAt < EXPIRY_INTERVAL_MS) return;
    this.expiredAt = now;
    for (const [gateway, heardAt] of this.gatewaysHeardAt)
      if (now - heardAt > GATEWAY_GONE_MS) this.gatewaysHeardAt.delete(gateway);
    this.table.expire(now);
  }

  /** Forgets everything when the leadership changes. */
  clear(): void {
    this.table.clear();
    this.gatewaysHeardAt.clear();
    this.count += 1;
    this.history.reset(this.count);
    this.changed.notify();
  }

  async reportLosses({ losses }: LossReport): Promise<LossReportAnswer> {
    const now = this.clock();
    for (const { key, backend, sentMsAgo, mayBeShared, permit } of losses) {
      const before = this.table.endsOf(key).length;
      this.table.noteLost({ key, backend, sentAt: now - sentMsAgo, mayBeShared }, now, permit);
      if (this.table.endsOf(key).length > before) this.logLoss(key, backend);
    }
    this.changed.notify();
    return { version: this.version };
  }

  /** Gateways learn of a request that can be sent more than once with their regular poll. */
  async confirmLosses({ key }: ConfirmationRequest): Promise<void> {
    if (!this.isNearLimit(key)) return;
    const { version } = this;
    this.options.onUrgentChange();
    await this.options.confirm(version);
  }

  async requestSend(request: SendPermitRequest): Promise<PermitDecision> {
    const { key, gateway, candidates, expiresInMs, waitMs } = request;
    this.noteGateway(gateway);
    this.takeKnownEnds(request);
    const deadline = this.clock() + waitMs;
    for (;;) {
      const now = this.clock();
      const expiresAt = now + expiresInMs;
      const decision = this.table.requestPermit({ key, gateway, candidates, expiresAt }, now);
      if (decision.kind !== 'busy' || now >= deadline) return decision;
      await this.changed.waitWithTimeout(deadline - now);
    }
  }

  reportOutcome({ key, outcome, permit }: OutcomeReport): void {
    if (outcome === 'completed' && this.table.endsOf(key).length > 0)
      this.options.logger.info('request cleared', { request: key, by: 'answer' });
    this.table.noteOutcome(key, outcome, permit);
    this.changed.notify();
  }

  reportAlive({ backend, keys, sentMsAgo }: AliveReport): void {
    const sentAt = this.clock() - sentMsAgo;
    for (const key of keys) this.table.noteAlive(key, backend, sentAt);
    this.changed.notify();
  }

  private removeByOperator(key: RequestKey): boolean {
    const wasKnown = this.table.remove(key);
    this.options.logger.warn('request cleared', { request: key, by: 'operator', wasKnown });
    if (wasKnown) this.options.onUrgentChange();
    return wasKnown;
  }

  /** Takes over what a gateway holds of an earlier leader's table. */
  private takeKnownEnds({ key, knownTerm, knownEnds }: SendPermitRequest): void {
    if (knownTerm >= this.version.term) return;
    const now = this.clock();
    const known = new Set(this.table.endsOf(key));
    for (const backend of knownEnds)
      if (!known.has(backend))
        this.table.noteLost({ key, backend, sentAt: now, mayBeShared: false }, now);
  }

  /** Whether one more end blocks the request. */
  private isNearLimit(key: RequestKey): boolean {
    return this.table.endsOf(key).length >= this.options.limits.maxEnds - 1;
  }

  private suspects(keys: Iterable<RequestKey>): CrashView['suspects'] {
    return [...keys].map((key) => ({ key, backends: this.table.endsOf(key) }));
  }

  private noteChange(key: RequestKey): void {
    this.count += 1;
    this.history.record(this.count, key);
    this.changed.notify();
  }

  private logLoss(key: RequestKey, backend: string): void {
    const { limits, logger } = this.options;
    const backends = this.table.endsOf(key);
    const fields = { request: key, id: backend, ends: backends.length };
    if (backends.length < limits.maxEnds) logger.info('response lost', fields);
    else logger.warn('request blocked', { ...fields, backends: backends.join(',') });
  }
}
