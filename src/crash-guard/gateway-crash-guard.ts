/**
 * Gateway side: reports lost responses to the directory's leader, and asks it for a permit before a request under which a
 * back end may have ended is sent again. Requests of which nothing is known are sent without a question.
 */
import { describeError, monotonicMs, sleep } from '../common/index.js';
import { type GroupClient, type LeaderAnswer, callLeader } from '../consensus/index.js';
import type { Logger } from '../observability/index.js';
import type { Method } from '../wire/index.js';
import type { CrashGuardMetrics } from './crash-guard-metrics.js';
import type { CrashLimits } from './crash-limits.js';
import type { SendOutcome } from './crash-table.js';
import {
  CONFIRM_LOSSES,
  type CrashVersion,
  type CrashView,
  INITIAL_CRASH_VERSION,
  REPORT_ALIVE,
  REPORT_LOSSES,
  REPORT_OUTCOME,
  REQUEST_SEND,
  type ReportedLoss,
  isLater,
} from './messages.js';
import { RequestGuard } from './request-guard.js';
import type { RequestIdentity, RequestKey } from './request-key.js';

export interface GatewayCrashGuardOptions {
  groups: GroupClient;
  /** Group whose leader counts. */
  group: string;
  gateway: string;
  /** Time since the leader was last heard of, in milliseconds. */
  leaderAgeMs: () => number;
  limits: CrashLimits;
  logger: Logger;
  metrics: CrashGuardMetrics;
}

/** Whether a request may be sent. */
export type SendAdmission =
  /** The permit is undefined if the leader did not grant one. */
  | { kind: 'granted'; backend: string; permit?: number }
  /** Another send of the request is in progress, or no leader counts its ends now. */
  | { kind: 'pending' }
  /** So many back ends have ended under the request that it is not sent again. */
  | { kind: 'blocked' };

/** A suspect request that is to be sent. */
export interface SuspectSend {
  key: RequestKey;
  /** Ids of the back ends that it may be sent to, the preferred one first; at least one. */
  candidates: string[];
  /** Time until the caller's deadline, in milliseconds. */
  leftMs: number;
}

/** Time limit of a request to the leader, in milliseconds: many round trips across zones. Calls wait for it. */
const REQUEST_TIMEOUT_MS = 400;
/** Time limit for the gateways to learn what was counted, in milliseconds; longer than the leader waits for them. */
const CONFIRM_TIMEOUT_MS = 600;
/** Age of the last contact above which calls do not wait for the leader, in milliseconds: over three long polls. */
const MAX_LEADER_AGE_MS = 700;
/** Time after a failed request in which calls do not wait for the leader, in milliseconds. */
const UNREACHABLE_MS = 500;
/** Time for which a send waits for another one of the same request to end, in milliseconds. */
const MAX_PERMIT_WAIT_MS = 250;
/** The same, as a fraction of the time until the caller's deadline. */
const PERMIT_WAIT_FRACTION = 0.3;
/** Time between two attempts to report what the leader has not acknowledged, in milliseconds. */
const REPORT_INTERVAL_MS = 250;
/** Maximum number of losses that wait for a leader; the oldest are dropped first. */
const MAX_UNREPORTED = 1_000;
/** Maximum number of back ends of which the time of the latest loss is remembered. */
const MAX_LEARNT = 1_000;
/**
 * Number of back ends that may end under one request at this gateway while no leader counts: one retry. Each gateway that is
 * cut off has a count of its own then.
 */
const MAX_ENDS_WITHOUT_LEADER = 2;

interface UnconfirmedLoss extends Omit<ReportedLoss, 'sentMsAgo'> {
  /** Monotonic, in milliseconds. */
  sentAt: number;
  /** Version of the leader's table that includes it, once the leader has acknowledged it. */
  version?: CrashVersion;
}

export class GatewayCrashGuard {
  /** The leader's table as of `heldVersion`. */
  private shared = new Map<RequestKey, ReadonlySet<string>>();
  private heldVersion = INITIAL_CRASH_VERSION;
  /** Losses that `shared` may not include yet. */
  private unconfirmed: UnconfirmedLoss[] = [];
  /** Requests that this gateway is sending without a permit, because no leader answered. */
  private readonly unpermitted = new Set<RequestKey>();
  /** When this gateway learnt of the latest loss at a back end (monotonic, milliseconds). */
  private readonly learntAt = new Map<string, number>();
  private leaderFailedAt = Number.NEGATIVE_INFINITY;
  private isReporting = false;
  private readonly stopping = new AbortController();

  constructor(private readonly options: GatewayCrashGuardOptions) {
    options.metrics.observe({
      suspects: () => this.shared.size,
      unreported: () => this.unreported.length,
    });
  }

  stop(): void {
    this.stopping.abort();
  }

  /** Version of the leader's table that this gateway holds. */
  get version(): CrashVersion {
    return this.heldVersion;
  }

  /** Whether anything is known of any request; otherwise no request needs a key. */
  get hasSuspects(): boolean {
    return this.shared.size > 0 || this.unconfirmed.length > 0;
  }

  /** @param tenant name of the caller's tenant, if it has one */
  guard(identity: RequestIdentity, tenant: string | undefined): RequestGuard {
    return new RequestGuard(this, identity, tenant);
  }

  isSuspect(key: RequestKey): boolean {
    return this.endsOf(key).size > 0;
  }

  /** By the leader's count: it may count several losses of equal requests once. */
  isBlocked(key: RequestKey): boolean {
    return (this.shared.get(key)?.size ?? 0) >= this.options.limits.maxEnds;
  }

  /** Decides whether a suspect request may be sent, and to which back end. */
  async requestSend(send: SuspectSend): Promise<SendAdmission> {
    const admission = await this.decide(send);
    this.options.metrics.noteSend(admission.kind);
    return admission;
  }

  /** Reports a lost response. Resolves once the leader has counted it, or after a time limit; it is reported again until then. */
  async reportLoss({ sentMsAgo, ...loss }: ReportedLoss): Promise<void> {
    this.unpermitted.delete(loss.key);
    this.unconfirmed.push({ ...loss, sentAt: monotonicMs() - sentMsAgo });
    this.learntAt.set(loss.backend, monotonicMs());
    if (this.unconfirmed.length > MAX_UNREPORTED) this.unconfirmed.shift();
    this.options.metrics.noteLoss();
    if (this.isLeaderReachable) await this.report();
    void this.reportUntilAcknowledged();
  }

  /** Resolves once all gateways know of the losses of a request that can hardly be sent again, or after a time limit. */
  async confirmLosses(key: RequestKey): Promise<void> {
    if (!this.isLeaderReachable) return;
    await this.askLeader(CONFIRM_LOSSES, { key }, CONFIRM_TIMEOUT_MS);
  }

  /** Reports how a send of a suspect request ended whose response was not lost. Does not wait for the leader. */
  reportOutcome(key: RequestKey, outcome: SendOutcome, permit?: number): void {
    this.unpermitted.delete(key);
    if (outcome === 'completed') this.forgetUnconfirmed(key);
    // A lost report only leaves the request suspect for longer, and its permit until it lapses.
    void this.askLeader(REPORT_OUTCOME, { key, outcome, permit });
  }

  /**
   * Reports that a back end is alive if all losses at it were known before it was sent a request that it has answered.
   * @param sentAt monotonic, in milliseconds
   */
  noteBackendAnswered(backend: string, sentAt: number): void {
    const learntAt = this.learntAt.get(backend);
    if (learntAt === undefined || learntAt >= sentAt) return;
    this.learntAt.delete(backend);
    const shared = [...this.shared].filter(([, backends]) => backends.has(backend));
    const own = this.unconfirmed.filter((loss) => loss.backend === backend);
    const keys = [...new Set([...shared.map(([key]) => key), ...own.map(({ key }) => key)])];
    this.unconfirmed = this.unconfirmed.filter((loss) => loss.backend !== backend);
    const report = { backend, keys, sentMsAgo: monotonicMs() - sentAt };
    // Heartbeats prove the same if the report is lost.
    void this.askLeader(REPORT_ALIVE, report);
  }

  /** Applies what the leader has told with its answer to a watch request. */
  applyView(view: CrashView): void {
    const before = this.shared;
    const isNewLeader = view.version.term > this.heldVersion.term;
    if (view.afterCount === undefined) this.shared = new Map();
    for (const key of view.removed) this.shared.delete(key);
    for (const { key, backends } of view.suspects) this.shared.set(key, new Set(backends));
    this.heldVersion = view.version;
    this.unconfirmed = this.unconfirmed.filter(
      ({ version }) => !version || isLater(version, view.version),
    );
    if (isNewLeader) this.reportAgain(before);
    // Heartbeats prove the same for what is forgotten here.
    if (!this.hasSuspects || this.learntAt.size > MAX_LEARNT) this.learntAt.clear();
    for (const { backends } of view.suspects)
      for (const backend of backends) this.learntAt.set(backend, monotonicMs());
  }

  private get isLeaderReachable(): boolean {
    const hasFailed = monotonicMs() - this.leaderFailedAt <= UNREACHABLE_MS;
    return !hasFailed && this.options.leaderAgeMs() < MAX_LEADER_AGE_MS;
  }

  private get unreported(): UnconfirmedLoss[] {
    return this.unconfirmed.filter(({ version }) => !version);
  }

  /** Ids of the back ends that are known to have ended under a request. */
  private endsOf(key: RequestKey): Set<string> {
    const own = this.unconfirmed.filter((loss) => loss.key === key);
    return new Set([...(this.shared.get(key) ?? []), ...own.map(({ backend }) => backend)]);
  }

  private async decide(send: SuspectSend): Promise<SendAdmission> {
    if (this.isBlocked(send.key)) return { kind: 'blocked' };
    if (!this.isLeaderReachable) return this.decideAlone(send);
    const { gateway } = this.options;
    const { key, candidates, leftMs } = send;
    const waitMs = Math.min(MAX_PERMIT_WAIT_MS, leftMs * PERMIT_WAIT_FRACTION);
    const request = {
      ...{ key, gateway, candidates, waitMs, expiresInMs: leftMs },
      knownTerm: this.heldVersion.term,
      knownEnds: [...this.endsOf(key)],
    };
    const decision = await this.askLeader(REQUEST_SEND, request, REQUEST_TIMEOUT_MS + waitMs);
    if (!decision) return this.decideAlone(send);
    return decision.kind === 'busy' ? { kind: 'pending' } : decision;
  }

  private decideAlone({ key, candidates }: SuspectSend): SendAdmission {
    const mayEnd = Math.min(MAX_ENDS_WITHOUT_LEADER, this.options.limits.maxEnds);
    if (this.unpermitted.has(key) || this.endsOf(key).size >= mayEnd) return { kind: 'pending' };
    this.unpermitted.add(key);
    return { kind: 'granted', backend: candidates[0]! };
  }

  private async report(): Promise<void> {
    const reported = this.unreported;
    const now = monotonicMs();
    const losses = reported.map(({ sentAt, version: _version, ...loss }) => ({
      ...loss,
      sentMsAgo: now - sentAt,
    }));
    const answer = await this.askLeader(REPORT_LOSSES, { losses });
    if (!answer) return;
    const { version } = answer;
    const isHeld = !isLater(version, this.heldVersion);
    for (const loss of reported) loss.version = version;
    if (isHeld) this.unconfirmed = this.unconfirmed.filter((loss) => !reported.includes(loss));
  }

  /** @returns undefined if no leader answered in time */
  private async askLeader<Request, Answer>(
    method: Method<Request, LeaderAnswer<Answer>>,
    request: Request,
    timeoutMs = REQUEST_TIMEOUT_MS,
  ): Promise<Answer | undefined> {
    const { groups, group } = this.options;
    try {
      return await callLeader(groups, group, method, request, {
        timeoutMs,
        tryTimeoutMs: timeoutMs,
      });
    } catch (error) {
      this.noteFailure(error);
      return undefined;
    }
  }

  private async reportUntilAcknowledged(): Promise<void> {
    if (this.isReporting) return;
    this.isReporting = true;
    const { signal } = this.stopping;
    while (this.unreported.length > 0 && !signal.aborted) {
      await sleep(REPORT_INTERVAL_MS, signal);
      if (this.unreported.length > 0 && !signal.aborted) await this.report();
    }
    this.isReporting = false;
  }

  /** Reports to a new leader what the one before knew. */
  private reportAgain(before: ReadonlyMap<RequestKey, ReadonlySet<string>>): void {
    const now = monotonicMs();
    const losses = [...before].flatMap(([key, backends]) =>
      [...backends]
        .filter((backend) => !this.shared.get(key)?.has(backend))
        .map((backend) => ({ key, backend, sentAt: now, mayBeShared: false })),
    );
    for (const loss of this.unconfirmed) delete loss.version;
    this.unconfirmed = [...losses, ...this.unconfirmed].slice(-MAX_UNREPORTED);
    void this.reportUntilAcknowledged();
  }

  private forgetUnconfirmed(key: RequestKey): void {
    this.unconfirmed = this.unconfirmed.filter((loss) => loss.key !== key);
  }

  private noteFailure(error: unknown): void {
    if (this.isLeaderReachable)
      this.options.logger.warn('ends of back ends not counted', { reason: describeError(error) });
    this.leaderFailedAt = monotonicMs();
  }
}
