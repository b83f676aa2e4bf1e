/**
 * Watches the directory from a process that is not a member of its group. One task long-polls the leader;
 * while no leader responds, another one polls the other members. The current state stays in use meanwhile
 * and is never replaced by an older one.
 */
import type { StatisticsReport } from '../backend-statistics/index.js';
import type { DemandReport, ServiceAdmission } from '../admission/messages.js';
import { Backoff, describeError, monotonicMs, sleep } from '../common/index.js';
import type { GroupCallOptions } from '../consensus/index.js';
import type { CrashVersion, CrashView } from '../crash-guard/index.js';
import type { HealthReport, ZoneHealth } from '../gateway-health/index.js';
import type { Logger } from '../observability/index.js';
import type { RouteConfiguration } from '../routes/index.js';
import type { WaitingCount } from '../waiting/index.js';
import type { BackendRecord } from './backend-registration.js';
import type { DirectoryClient } from './directory-client.js';
import { BackendCache } from './backend-cache.js';
import type {
  BackendLoad,
  ClusterView,
  CommittedUpdate,
  ConfigurationView,
  DirectoryView,
  NodeAnnouncement,
} from './messages.js';
import { loadsOfOtherGateways } from './load-totals.js';
import { unpackRoutes } from './packed-configuration.js';
import { unpackJson } from './packed-json.js';
import type { SilenceDelta } from './silent-backend-tracker.js';

/** Total time limit of a watch request, long enough for a lagging leader. */
export const WATCH_TIMEOUT_MS = 3_000;
/** Time limit for one member to respond, including the long poll, before others are asked. */
export const WATCH_TRY_TIMEOUT_MS = 450;
/** Maximum pause between attempts; without a leader all gateways retry at the same time. */
export const WATCH_MAXIMUM_PAUSE_MS = 150;
const FIRST_RETRY_DELAY_MS = 50;
const MAXIMUM_RETRY_DELAY_MS = 400;

/**
 * Time without a response of the leader after which the other members are polled: three long polls. It bounds
 * the time until an acknowledged drain reaches a gateway whose leader is unresponsive. Gateways
 * must know of a drain within 2 s, which an unresponsive leader alone does not ensure.
 */
export const LEADER_OVERDUE_MS = 600;
/** Minimum time between polls of members; jitter is added because all gateways poll at the same time. */
const MIN_MEMBER_POLL_INTERVAL_MS = 150;
export const MAX_MEMBER_POLL_INTERVAL_MS = 225;

const WATCH_LIMITS: GroupCallOptions = {
  timeoutMs: WATCH_TIMEOUT_MS,
  tryTimeoutMs: WATCH_TRY_TIMEOUT_MS,
  maximumPauseMs: WATCH_MAXIMUM_PAUSE_MS,
};

export interface DirectoryWatcherOptions {
  client: DirectoryClient;
  announce: () => NodeAnnouncement;
  /** Calls in flight from this process, by backend. @default none */
  loads?: () => BackendLoad[];
  /** Health of this process, if a report is due. @default none */
  health?: () => HealthReport | undefined;
  /** Calls that wait in this process; undefined if the last report still holds. @default none */
  waiting?: () => WaitingCount[] | undefined;
  /** The demand to report; undefined without shared admission. @default never */
  demand?: () => DemandReport | null | undefined;
  logger: Logger;
  onConfiguration?: (configuration: RouteConfiguration) => void;
  onBackends?: (backends: BackendRecord[]) => void;
  onCluster?: (view: ClusterView) => void;
  onOtherLoads?: (loads: BackendLoad[]) => void;
  /** Report of the backend statistics, if one is due. @default none */
  takeStatistics?: () => StatisticsReport | undefined;
  /** Receives the packed statistics of the leader. */
  onStatistics?: (packed: Uint8Array) => void;
  /** Called with the time at which the answered request was sent (monotonic, milliseconds). */
  onZoneHealth?: (zoneHealth: ZoneHealth, requestedAt: number) => void;
  /** Called after `onOtherLoads`. */
  onOtherWaiting?: (waiting: WaitingCount[]) => void;
  /** Called for each answer of a leader; undefined if it has not decided. */
  onAdmission?: (admission: ServiceAdmission[] | undefined) => void;
  /** Version of the requests under which backends ended that this process holds. @default they are not counted */
  crashVersion?: () => CrashVersion;
  onCrashes?: (view: CrashView) => void;
}

export class DirectoryWatcher {
  private configurationIndex = 0;
  private readonly backends = new BackendCache();
  private clusterVersion = '';
  private leaderAnsweredAt = Number.NEGATIVE_INFINITY;
  /** A quorum confirmed the state held here as current at this time (monotonic, milliseconds). */
  private confirmedAt = Number.NEGATIVE_INFINITY;
  private isConnected = false;
  private readonly stopping = new AbortController();

  constructor(private readonly options: DirectoryWatcherOptions) {}

  start(): void {
    void this.run();
    if (this.options.onBackends) void this.pollMembers();
  }

  stop(): void {
    this.stopping.abort();
  }

  /** Time since the last request that a leader answered was sent, in milliseconds. */
  get leaderContactAgeMs(): number {
    return monotonicMs() - this.leaderAnsweredAt;
  }

  /**
   * Time since a quorum of the directory confirmed the state held here, in milliseconds. Updates from a single member
   * do not reset it.
   */
  get confirmedAgeMs(): number {
    return monotonicMs() - this.confirmedAt;
  }

  private async run(): Promise<void> {
    let isUrgent = true;
    const backoff = new Backoff({
      initialMs: FIRST_RETRY_DELAY_MS,
      maximumMs: MAXIMUM_RETRY_DELAY_MS,
    });
    while (!this.stopping.signal.aborted) {
      try {
        const requestedAt = monotonicMs();
        const view = await this.options.client.watch(this.request(isUrgent), WATCH_LIMITS);
        backoff.reset();
        this.leaderAnsweredAt = requestedAt;
        isUrgent = false;
        this.setConnected(true, '');
        this.applyView(view);
        if (view.zoneHealth) this.options.onZoneHealth?.(view.zoneHealth, requestedAt);
        this.confirmedAt = Math.max(this.confirmedAt, requestedAt - view.confirmedAgeMs);
      } catch (error) {
        isUrgent = true;
        this.setConnected(false, describeError(error));
        await sleep(backoff.nextDelayMs(), this.stopping.signal);
      }
    }
  }

  /** Members are polled only after a leader has responded once: a member that just started may hold outdated state. */
  private async pollMembers(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const jitterMs = Math.random() * (MAX_MEMBER_POLL_INTERVAL_MS - MIN_MEMBER_POLL_INTERVAL_MS);
      await sleep(MIN_MEMBER_POLL_INTERVAL_MS + jitterMs, signal);
      const hasLeaderResponded = Number.isFinite(this.leaderAnsweredAt);
      if (hasLeaderResponded && this.leaderContactAgeMs > LEADER_OVERDUE_MS)
        await this.pollMember();
    }
  }

  private async pollMember(): Promise<void> {
    const { configurationIndex } = this;
    try {
      const held = { configurationIndex, backendsIndex: this.backends.index };
      this.applyCommittedUpdate(await this.options.client.fetchCommittedUpdate(held));
    } catch (error) {
      const reason = describeError(error);
      this.options.logger.debug('member told no news', { reason });
    }
  }

  private request(isUrgent: boolean): Parameters<DirectoryClient['watch']>[0] {
    const statistics = this.options.takeStatistics?.();
    const health = this.options.health?.();
    const waiting = this.options.waiting?.();
    const demand = this.options.demand?.();
    const crashes = this.options.crashVersion?.();
    return {
      node: this.options.announce(),
      known: {
        configuration: this.configurationIndex,
        backendsIndex: this.backends.index,
        silence: this.backends.silence,
        cluster: this.clusterVersion,
        ...(crashes && { crashes }),
      },
      isUrgent,
      loads: this.options.loads?.() ?? [],
      ...(statistics && { statistics }),
      ...(health && { health }),
      ...(waiting && { waiting }),
      ...(demand !== undefined && { demand }),
    };
  }

  private applyView(view: DirectoryView): void {
    if (view.cluster) {
      this.clusterVersion = view.cluster.version;
      this.options.onCluster?.(view.cluster);
    }
    this.applyBackends(view);
    if (view.crashes) this.options.onCrashes?.(view.crashes);
    if (view.configuration) this.applyConfiguration(view.configuration);
    if (view.loads) this.options.onOtherLoads?.(loadsOfOtherGateways(view.loads));
    if (view.statistics) this.options.onStatistics?.(view.statistics);
    if (view.loads) this.options.onOtherWaiting?.(view.waiting ?? []);
    this.options.onAdmission?.(view.admission);
  }

  /** Leaves the silent backends unchanged: only a leader knows them. */
  private applyCommittedUpdate({ configuration, backends }: CommittedUpdate): void {
    if (configuration) this.applyConfiguration(configuration);
    if (!backends || backends.index <= this.backends.index) return;
    const { index } = backends;
    const leaderAgeMs = Math.round(this.leaderContactAgeMs);
    this.options.logger.info('back ends told by a member', { index, leaderAgeMs });
    this.backends.apply(backends);
    this.options.onBackends?.(this.backends.records());
  }

  private applyConfiguration({ index, routes }: ConfigurationView): void {
    if (index <= this.configurationIndex) return;
    const configuration = unpackRoutes(routes);
    this.configurationIndex = index;
    const { generation } = configuration;
    const leaderAgeMs = Math.round(this.leaderContactAgeMs);
    this.options.logger.info('configuration in force', { generation, leaderAgeMs });
    this.options.onConfiguration?.(configuration);
  }

  /** Applies both parts before listeners are called. */
  private applyBackends({ backends, silence }: DirectoryView): void {
    if (!backends && !silence) return;
    if (backends) this.backends.apply(backends);
    if (silence) this.backends.applySilenceDelta(unpackJson<SilenceDelta>(silence));
    this.options.onBackends?.(this.backends.records());
  }

  private setConnected(isConnected: boolean, reason: string): void {
    if (this.isConnected === isConnected) return;
    this.isConnected = isConnected;
    if (isConnected) this.options.logger.info('directory regained', {});
    else this.options.logger.warn('directory lost', { reason });
  }
}
