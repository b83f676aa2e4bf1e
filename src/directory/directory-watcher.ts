/**
 * Follows the directory from a process that is no member of its group: one task asks the leader
 * for news again and again. While no leader answers, another one asks the other members what they hold.
 * What is held goes on being used meanwhile, and is never replaced by anything older.
 */
import { Backoff, describeError, monotonicMs, sleep } from '../common/index.js';
import type { GroupCallOptions } from '../consensus/index.js';
import type { Logger } from '../observability/index.js';
import type { RouteConfiguration } from '../routes/index.js';
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

/** The answer of a leader that is behind is waited for so long, in milliseconds. */
export const WATCH_TIMEOUT_MS = 3_000;
/** One leader may take so long before others are asked, of which it holds the question for a part. */
export const WATCH_TRY_TIMEOUT_MS = 450;
/** Pause between members that are asked; all gateways ask at once while there is no leader. */
export const WATCH_MAXIMUM_PAUSE_MS = 150;
const FIRST_RETRY_DELAY_MS = 50;
const MAXIMUM_RETRY_DELAY_MS = 400;

/**
 * Without an answer of the leader for so long, the other members are asked, in milliseconds: three of the
 * times for which a leader holds a question. A drain that was acknowledged reaches a gateway beside a silent leader
 * within 1 s; from the leader alone it came after 2.9 s, or not at all, where gateways have 2 s.
 */
export const LEADER_OVERDUE_MS = 600;
/** Time between two members that are asked, in milliseconds; spread, since all gateways ask at once. */
const MEMBER_INTERVAL_MS = 150;
export const MAX_MEMBER_POLL_INTERVAL_MS = 225;

const WATCH_LIMITS: GroupCallOptions = {
  timeoutMs: WATCH_TIMEOUT_MS,
  tryTimeoutMs: WATCH_TRY_TIMEOUT_MS,
  maximumPauseMs: WATCH_MAXIMUM_PAUSE_MS,
};

export interface DirectoryWatcherOptions {
  client: DirectoryClient;
  announce: () => NodeAnnouncement;
  /** Calls under way at this process by back end. @default none */
  loads?: () => BackendLoad[];
  logger: Logger;
  onConfiguration?: (configuration: RouteConfiguration) => void;
  onBackends?: (backends: BackendRecord[]) => void;
  onCluster?: (view: ClusterView) => void;
  onOtherLoads?: (loads: BackendLoad[]) => void;
}

export class DirectoryWatcher {
  private configurationIndex = 0;
  private readonly backends = new BackendCache();
  private clusterVersion = '';
  private leaderAnsweredAt = Number.NEGATIVE_INFINITY;
  /** What is held was in force then, whoever led (monotonic, milliseconds). */
  private confirmedAt = Number.NEGATIVE_INFINITY;
  private isConnected = false;
  private readonly stopping = new AbortController();

  constructor(private readonly options: DirectoryWatcherOptions) {}

  start(): void {
    void this.run();
    if (this.options.onBackends) void this.followMembers();
  }

  stop(): void {
    this.stopping.abort();
  }

  /** Time since a leader last answered, in milliseconds. */
  get leaderContactAgeMs(): number {
    return monotonicMs() - this.leaderAnsweredAt;
  }

  /**
   * Time since a majority of the directory stood behind what is held, in milliseconds. What only one member told
   * may bring news, but makes nothing that is held any younger.
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
        const askedAt = monotonicMs();
        const view = await this.options.client.watch(this.request(isUrgent), WATCH_LIMITS);
        backoff.reset();
        this.leaderAnsweredAt = askedAt;
        isUrgent = false;
        this.noteConnected(true, '');
        this.take(view);
        this.confirmedAt = Math.max(this.confirmedAt, askedAt - view.confirmedAgeMs);
      } catch (error) {
        isUrgent = true;
        this.noteConnected(false, describeError(error));
        await sleep(backoff.nextDelayMs(), this.stopping.signal);
      }
    }
  }

  /**
   * A process that no leader has answered yet waits for one: a member that has just started may hold what
   * is long out of force.
   */
  private async followMembers(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const spreadMs = Math.random() * (MAX_MEMBER_POLL_INTERVAL_MS - MEMBER_INTERVAL_MS);
      await sleep(MEMBER_INTERVAL_MS + spreadMs, signal);
      const hasHeardLeader = Number.isFinite(this.leaderAnsweredAt);
      if (hasHeardLeader && this.leaderContactAgeMs > LEADER_OVERDUE_MS) await this.askMember();
    }
  }

  private async askMember(): Promise<void> {
    const { configurationIndex } = this;
    try {
      const held = { configurationIndex, backendsIndex: this.backends.index };
      this.takeCommitted(await this.options.client.fetchCommittedUpdate(held));
    } catch (error) {
      const reason = describeError(error);
      this.options.logger.debug('member told no news', { reason });
    }
  }

  private request(isUrgent: boolean): Parameters<DirectoryClient['watch']>[0] {
    return {
      node: this.options.announce(),
      known: {
        configuration: this.configurationIndex,
        backendsIndex: this.backends.index,
        silence: this.backends.silence,
        cluster: this.clusterVersion,
      },
      isUrgent,
      loads: this.options.loads?.() ?? [],
    };
  }

  private take(view: DirectoryView): void {
    if (view.cluster) {
      this.clusterVersion = view.cluster.version;
      this.options.onCluster?.(view.cluster);
    }
    this.takeBackends(view);
    if (view.configuration) this.takeConfiguration(view.configuration);
    if (view.loads) this.options.onOtherLoads?.(loadsOfOtherGateways(view.loads));
  }

  /** What is held of silent back ends stays: only a leader knows of them. */
  private takeCommitted({ configuration, backends }: CommittedUpdate): void {
    if (configuration) this.takeConfiguration(configuration);
    if (!backends || backends.index <= this.backends.index) return;
    const { index } = backends;
    const leaderAgeMs = Math.round(this.leaderContactAgeMs);
    this.options.logger.info('back ends told by a member', { index, leaderAgeMs });
    this.backends.apply(backends);
    this.options.onBackends?.(this.backends.records());
  }

  private takeConfiguration({ index, routes }: ConfigurationView): void {
    if (index <= this.configurationIndex) return;
    const configuration = unpackRoutes(routes);
    this.configurationIndex = index;
    const { generation } = configuration;
    const leaderAgeMs = Math.round(this.leaderContactAgeMs);
    this.options.logger.info('configuration in force', { generation, leaderAgeMs });
    this.options.onConfiguration?.(configuration);
  }

  /** Both parts are taken before anything acts by either. */
  private takeBackends({ backends, silence }: DirectoryView): void {
    if (!backends && !silence) return;
    if (backends) this.backends.apply(backends);
    if (silence) this.backends.applySilenceDelta(unpackJson<SilenceDelta>(silence));
    this.options.onBackends?.(this.backends.records());
  }

  private noteConnected(isConnected: boolean, reason: string): void {
    if (this.isConnected === isConnected) return;
    this.isConnected = isConnected;
    if (isConnected) this.options.logger.info('directory regained', {});
    else this.options.logger.warn('directory lost', { reason });
  }
}
