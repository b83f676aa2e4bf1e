/**
 * Follows the directory from a process that is no member of its group: one task asks the leader
 * for news again and again. What is held goes on being used while no leader answers, and is never
 * replaced by anything older.
 */
import { Backoff, describeError, monotonicMs, sleep } from '../common/index.js';
import type { GroupCallOptions } from '../consensus/index.js';
import type { Logger } from '../observability/index.js';
import type { RouteConfiguration } from '../routes/index.js';
import type { BackendRecord } from './backend-registration.js';
import type { DirectoryClient } from './directory-client.js';
import type {
  BackendLoad,
  BackendsView,
  ClusterView,
  DirectoryView,
  NodeAnnouncement,
} from './messages.js';
import { unpackRoutes } from './packed-configuration.js';

/** The answer of a leader that is behind is waited for so long, in milliseconds. */
export const WATCH_TIMEOUT_MS = 3_000;
/** One leader may take so long before others are asked, of which it holds the question for a part. */
export const WATCH_TRY_TIMEOUT_MS = 450;
/** Pause between members that are asked; all gateways ask at once while there is no leader. */
export const WATCH_MAXIMUM_PAUSE_MS = 150;
const FIRST_RETRY_DELAY_MS = 50;
const MAXIMUM_RETRY_DELAY_MS = 400;

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
  private backendsVersion = '';
  private backendsIndex = -1;
  private clusterVersion = '';
  private confirmedAt = Number.NEGATIVE_INFINITY;
  private isConnected = false;
  private readonly stopping = new AbortController();

  constructor(private readonly options: DirectoryWatcherOptions) {}

  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopping.abort();
  }

  /** Time since a leader last answered, in milliseconds. */
  get ageMs(): number {
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
        this.confirmedAt = askedAt;
        isUrgent = false;
        this.noteConnected(true, '');
        this.take(view);
      } catch (error) {
        isUrgent = true;
        this.noteConnected(false, describeError(error));
        await sleep(backoff.nextDelayMs(), this.stopping.signal);
      }
    }
  }

  private request(isUrgent: boolean): Parameters<DirectoryClient['watch']>[0] {
    return {
      node: this.options.announce(),
      known: {
        configuration: this.configurationIndex,
        backends: this.backendsVersion,
        backendsIndex: Math.max(0, this.backendsIndex),
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
    if (view.backends) this.takeBackends(view.backends);
    if (view.configuration && view.configuration.index > this.configurationIndex) {
      const configuration = unpackRoutes(view.configuration.routes);
      this.configurationIndex = view.configuration.index;
      const { generation } = configuration;
      this.options.logger.info('configuration in force', { generation });
      this.options.onConfiguration?.(configuration);
    }
    this.options.onOtherLoads?.(view.otherLoads);
  }

  private takeBackends(view: BackendsView): void {
    if (view.index < this.backendsIndex) return;
    this.backendsIndex = view.index;
    this.backendsVersion = view.version;
    this.options.onBackends?.(view.backends);
  }

  private noteConnected(isConnected: boolean, reason: string): void {
    if (this.isConnected === isConnected) return;
    this.isConnected = isConnected;
    if (isConnected) this.options.logger.info('directory regained', {});
    else this.options.logger.warn('directory lost', { reason });
  }
}
