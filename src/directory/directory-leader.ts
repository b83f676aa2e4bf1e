/**
 * Duties of the directory's leader besides replication: handles operator requests and registrations,
 * responds to watchers, bootstraps the ledger groups, and removes backends that miss heartbeats.
 */
import { SignalEvent, describeError, monotonicMs } from '../common/index.js';
import type { ReplicatedGroup } from '../consensus/index.js';
import {
  CrashLeader,
  type CrashLimits,
  type CrashVersion,
  DEFAULT_CRASH_LIMITS,
  INITIAL_CRASH_VERSION,
  isLater,
} from '../crash-guard/index.js';
import type { Logger } from '../observability/index.js';
import { encodeValue } from '../wire/index.js';
import { EventLoopThrottle } from './answer-turns.js';
import type { BackendRegistration } from './backend-registration.js';
import type { DirectoryCommand } from './directory-commands.js';
import { DirectoryStateMachine } from './directory-state-machine.js';
import { GatewayConfirmations } from './gateway-confirmations.js';
import { GatewayReports } from './gateway-reports.js';
import { HeartbeatTable } from './heartbeat-table.js';
import type { Incarnation } from './incarnation.js';
import { LedgerBootstrap } from './ledger-bootstrap.js';
import type {
  ClusterView,
  DirectoryView,
  KnownVersions,
  NodeAnnouncement,
  PutConfigurationRequest,
  WatchRequest,
} from './messages.js';
import { NotificationThrottle } from './notification-throttle.js';
import { NodeRoster } from './node-roster.js';
import { RetirementLeader } from './retirement-leader.js';
import { SilentBackendTracker } from './silent-backend-tracker.js';

/** Maximum time for which the leader holds a watch request. */
export const WATCH_LONG_POLL_MS = 200;
/**
 * A change wakes the held requests of all watchers. Responding to all of them in one turn of the event loop would
 * delay consensus heartbeats and votes, and could cost a leader on a slow machine its leadership.
 */
const RESPONSES_PER_TURN = 8;
const HOUSEKEEPING_INTERVAL_MS = 250;
/** Cluster changes within this time are published together. */
const CLUSTER_UPDATE_DELAY_MS = 100;
/** Backend changes within this time are published together, so that a registering fleet wakes watchers less often. */
const BACKEND_UPDATE_INTERVAL_MS = 100;

export interface DirectoryLeaderOptions {
  /** Target number of voters in each ledger group. */
  ledgerVoters: number;
  /** Number of ledger groups to found. @default by the number of journal processes */
  ledgerGroups?: number;
  /** Interval between heartbeats of a backend, in milliseconds. */
  heartbeatIntervalMs: number;
  /** Addresses of the directory group's members, which are sent to watchers. */
  controlAddresses: () => string[];
  /** @default three backends */
  crashLimits?: CrashLimits;
  logger: Logger;
}

const SILENT_AFTER_INTERVALS = 2.2;
const REMOVED_AFTER_INTERVALS = 12;

/**
 * Time for which the acknowledgement of a configuration waits for lagging gateways. Together with the commit it
 * stays below the one second after which operators retry.
 */
export const CONFIGURATION_CONFIRM_MS = 800;
/** The same for a backend that leaves; its request times out after 0.8 s. */
export const BACKENDS_CONFIRM_MS = 500;
/** The same for a request that can only be sent once more; its caller waits for the answer to a failed call. */
const CRASHES_CONFIRM_MS = 400;
/** Urgent changes of the requests under which backends ended are published together within this time. */
const CRASH_UPDATE_INTERVAL_MS = 10;
/** Maximum number of lagging gateways named in a log entry. */
const MAX_LOGGED_GATEWAYS = 8;

export class DirectoryLeader {
  readonly stateMachine: DirectoryStateMachine;
  readonly crashes: CrashLeader;
  readonly retirements: RetirementLeader;
  private readonly roster = new NodeRoster();
  private readonly gatewayReports: GatewayReports;
  private readonly confirmations = new GatewayConfirmations();
  private readonly heartbeats: HeartbeatTable;
  private readonly ledgerBootstrap: LedgerBootstrap;
  private readonly updates = new SignalEvent();
  private readonly responseThrottle = new EventLoopThrottle(RESPONSES_PER_TURN);
  private readonly timer: NodeJS.Timeout;
  private group: ReplicatedGroup | undefined;
  private clusterVersion = 0;
  /** Content of the latest cluster version, to detect changes. */
  private clusterContent = '';
  private clusterTimer: NodeJS.Timeout | undefined;
  private readonly silentBackends = new SilentBackendTracker();
  /** Log index of the backends up to which waiting watchers were notified. */
  private publishedBackendsIndex = 0;
  private publishedConfigurationIndex = 0;
  private readonly backendThrottle = new NotificationThrottle(BACKEND_UPDATE_INTERVAL_MS, () =>
    this.publishBackends(),
  );
  private readonly crashThrottle = new NotificationThrottle(CRASH_UPDATE_INTERVAL_MS, () =>
    this.publishCrashes(),
  );
  /** Version of the crashes of which waiting watchers were notified. */
  private publishedCrashes = INITIAL_CRASH_VERSION;
  private isHousekeeping = false;

  constructor(private readonly options: DirectoryLeaderOptions) {
    this.stateMachine = new DirectoryStateMachine(() => this.onStateChanged());
    this.heartbeats = new HeartbeatTable({
      silentAfterMs: options.heartbeatIntervalMs * SILENT_AFTER_INTERVALS,
      removeAfterMs: options.heartbeatIntervalMs * REMOVED_AFTER_INTERVALS,
    });
    this.ledgerBootstrap = new LedgerBootstrap(options.ledgerVoters, options.ledgerGroups);
    this.gatewayReports = new GatewayReports({
      backends: () => this.stateMachine.backends,
      isSilent: (id) => this.silentBackends.ids.has(id),
      onFailingChange: () => this.updates.notify(),
      logger: options.logger,
    });
    this.crashes = this.createCrashLeader();
    this.retirements = new RetirementLeader({
      stateMachine: this.stateMachine,
      roster: this.roster,
      ledgerVoters: options.ledgerVoters,
      leadingSince: () => this.group?.leadingSince ?? 0,
      propose: (command) => this.propose(command),
      logger: options.logger,
    });
    this.timer = setInterval(() => void this.runHousekeeping(), HOUSEKEEPING_INTERVAL_MS);
  }

  attach(group: ReplicatedGroup): void {
    this.group = group;
  }

  onLeadershipChange(): void {
    this.heartbeats.clear();
    this.silentBackends.clear();
    this.gatewayReports.clear();
    this.confirmations.clear();
    this.crashes.clear();
    this.roster.clear();
    this.retirements.clear();
    this.clusterVersion += 1;
    this.updates.notify();
  }

  stop(): void {
    clearInterval(this.timer);
    clearTimeout(this.clusterTimer);
    this.backendThrottle.stop();
    this.crashThrottle.stop();
    this.updates.notify();
  }

  /** Resolves once the configuration is committed and active gateways have applied it, or a time limit has passed. */
  async putConfiguration(request: PutConfigurationRequest): Promise<void> {
    const { generation } = request;
    const held = this.stateMachine.configuration?.generation;
    // The current configuration is committed, so a superseded or repeated request is complete.
    if (held !== undefined && held >= generation) {
      this.options.logger.info('configuration overtaken', { generation, held });
    } else {
      const command: DirectoryCommand = { kind: 'put-configuration', ...request };
      await this.propose(command);
      this.options.logger.info('configuration committed', { generation });
    }
    await this.confirmConfiguration();
  }

  /** For a draining backend, resolves once active gateways know of it, or after a time limit. */
  async recordHeartbeat(registration: BackendRegistration): Promise<void> {
    const { id, service, phase, address, softwareVersion } = registration;
    this.heartbeats.record(id);
    this.crashes.noteHeartbeat(id);
    if (this.stateMachine.isChange(registration)) {
      await this.propose({ kind: 'register-backend', registration });
      const fields = { id, service, phase, address, softwareVersion };
      this.options.logger.info('back end registered', fields);
    }
    if (phase === 'draining') await this.confirmBackends();
  }

  /** Resolves once active gateways know of it, or after a time limit. */
  async removeBackend(incarnation: Incarnation): Promise<void> {
    for (const id of this.stateMachine.idsOf(incarnation)) {
      if (this.stateMachine.hasDeparted(id)) continue;
      await this.propose({ kind: 'remove-backend', id, hasDeparted: true });
      this.options.logger.info('back end departed', { id });
    }
    await this.confirmBackends();
  }

  /** Resolves once the gateways and tenants that may hold shares are committed. */
  async commitQuotaShares(shares: { gateways: string[]; tenants: string[] }): Promise<void> {
    const { gateways, tenants } = shares;
    await this.propose({ kind: 'set-quota-shares', gateways, tenants });
    const counts = { gateways: gateways.length, tenants: tenants.length };
    this.options.logger.info('shares of limits committed', counts);
  }

  /**
   * Responds with what is newer than the watcher's versions, or with an empty view after the long-poll
   * time. Configurations and backends are sent to gateways only.
   */
  async watch(request: WatchRequest): Promise<DirectoryView> {
    this.recordNode(request.node);
    const isGateway = request.node.role === 'gateway';
    const { failingVersion } = this.gatewayReports;
    if (isGateway) {
      this.gatewayReports.record(request);
      this.confirmations.record(request.node.name, request.known);
      this.crashes.noteGateway(request.node.name);
    }
    const deadline = monotonicMs() + WATCH_LONG_POLL_MS;
    while (!request.isUrgent && !this.hasUpdateFor(request) && this.group?.isLeader) {
      if (this.gatewayReports.failingVersion !== failingVersion) break;
      const remainingMs = deadline - monotonicMs();
      if (remainingMs <= 0) break;
      await this.updates.waitWithTimeout(remainingMs);
      await this.responseThrottle.next();
    }
    const view = this.viewFor(request);
    if (isGateway) this.gatewayReports.addTo(view, request);
    view.confirmedAgeMs = this.confirmedAgeMs;
    return view;
  }

  /** Whether a held request can be answered now. */
  private hasUpdateFor({ node, known }: WatchRequest): boolean {
    if (this.hasClusterUpdateFor(known)) return true;
    if (node.role !== 'gateway') return false;
    return (
      this.stateMachine.configurationIndex > known.configuration ||
      this.publishedBackendsIndex > known.backendsIndex ||
      this.hasUrgentCrashesFor(known) ||
      this.silentBackends.hasUpdateFor(known.silence, this.term)
    );
  }

  /** What is newer than the watcher's versions; the caller adds what is merged from the gateways' reports. */
  private viewFor({ node, known }: WatchRequest): DirectoryView {
    const { stateMachine } = this;
    const view: DirectoryView = { confirmedAgeMs: Infinity };
    const isLeader = this.group?.isLeader ?? false;
    // The term may already be the next leader's: versions of a deposed leader would be taken for that leader's.
    if (isLeader && this.hasClusterUpdateFor(known)) view.cluster = this.clusterView();
    if (node.role !== 'gateway') return view;
    const {
      configuration,
      configurationIndex: index,
      backendsIndex,
      backendUpdates,
    } = stateMachine;
    if (configuration && index > known.configuration) {
      view.configuration = { index, routes: configuration.routes };
    }
    // A watcher that holds no backends also gets an empty list.
    if (backendsIndex > known.backendsIndex || known.backendsIndex === 0) {
      view.backends = backendUpdates.updateSince(known.backendsIndex);
    }
    if (isLeader && this.silentBackends.hasUpdateFor(known.silence, this.term)) {
      view.silence = this.silentBackends.updateSince(known.silence, this.term);
    }
    // A deposed leader has forgotten its table.
    const crashes = isLeader && known.crashes && this.crashes.viewSince(known.crashes);
    if (crashes) view.crashes = crashes;
    return view;
  }

  private hasUrgentCrashesFor({ crashes }: KnownVersions): boolean {
    return crashes !== undefined && isLater(this.publishedCrashes, crashes);
  }

  /** Uses the monotonic clock, so that stalls of this process count. */
  private get confirmedAgeMs(): number {
    return this.group ? monotonicMs() - this.group.quorumContactMs() : Infinity;
  }

  private get term(): number {
    return this.group?.term ?? 0;
  }

  private hasClusterUpdateFor(known: KnownVersions): boolean {
    return known.cluster !== this.clusterVersionText();
  }

  private clusterVersionText(): string {
    return `${this.term}.${this.clusterVersion}`;
  }

  private clusterView(): ClusterView {
    return {
      version: this.clusterVersionText(),
      controlAddresses: this.options.controlAddresses(),
      ledgerAddresses: this.ledgerAddresses(),
      ledgerFounders: [...this.stateMachine.ledgerFounders],
      ledgerGroups: [...this.stateMachine.ledgerGroups],
      retirements: [...this.stateMachine.retirements],
      gatewayCount: Math.max(1, this.roster.present('gateway').length),
    };
  }

  private ledgerAddresses(): string[] {
    const announced = this.roster.known('journal').map((node) => node.address);
    const founders = this.stateMachine.ledgerGroups.flatMap((group) => group.founders);
    return [...new Set([...announced, ...founders.map(({ address }) => address)])];
  }

  private recordNode(node: NodeAnnouncement): void {
    if (!this.roster.record(node)) return;
    if (node.role === 'journal') this.ledgerBootstrap.recordJournal();
    this.options.logger.info('process announced', { node: node.name, role: node.role });
    this.scheduleClusterUpdate();
  }

  private async runHousekeeping(): Promise<void> {
    if (!this.group?.isLeader || this.isHousekeeping) return;
    this.isHousekeeping = true;
    try {
      this.refreshSilent();
      this.crashes.expire();
      this.roster.removeSilent();
      this.tellClusterNews();
      await this.bootstrapLedgerIfDue();
      await this.removeExpiredBackends();
    } catch (error) {
      this.options.logger.warn('housekeeping failed', { description: describeError(error) });
    } finally {
      this.isHousekeeping = false;
    }
  }

  private refreshSilent(): void {
    const { backends } = this.stateMachine;
    this.heartbeats.retainOnly(backends);
    const before = this.silentBackends.ids;
    const silent = this.heartbeats.findSilent(backends.keys());
    if (!this.silentBackends.update(silent)) return;
    this.options.logger.info('silent back ends changed', {
      silent: namesOf(silent),
      before: namesOf(before),
    });
    this.updates.notify();
  }

  private async removeExpiredBackends(): Promise<void> {
    for (const id of [...this.stateMachine.backends.keys()]) {
      if (!this.heartbeats.isLost(id)) continue;
      await this.propose({ kind: 'remove-backend', id, hasDeparted: false });
      this.options.logger.warn('back end lost', { id });
    }
  }

  private async bootstrapLedgerIfDue(): Promise<void> {
    if (this.stateMachine.ledgerFounders.length > 0) return;
    const groups = this.ledgerBootstrap.dueGroups(this.roster.present('journal'));
    if (!groups) return;
    const [{ founders }, ...furtherGroups] = groups;
    await this.propose({ kind: 'found-ledger', founders, furtherGroups });
    for (const { name: group, founders: members } of groups) {
      const names = members.map(({ name }) => name).join(',');
      this.options.logger.info('ledger group founded', { group, founders: names });
    }
  }

  private onStateChanged(): void {
    const { configurationIndex, backendsIndex } = this.stateMachine;
    if (configurationIndex !== this.publishedConfigurationIndex) this.updates.notify();
    this.publishedConfigurationIndex = configurationIndex;
    if (backendsIndex !== this.publishedBackendsIndex) this.backendThrottle.schedule();
    this.scheduleClusterUpdate();
  }

  private publishBackends(): void {
    this.publishedBackendsIndex = this.stateMachine.backendsIndex;
    this.updates.notify();
  }

  /** Batches announcements, because each cluster version is sent to every watcher. */
  private scheduleClusterUpdate(): void {
    this.clusterTimer ??= setTimeout(() => {
      this.clusterTimer = undefined;
      this.tellClusterNews();
    }, CLUSTER_UPDATE_DELAY_MS);
  }

  /** Publishes a new version of the cluster view if its content has changed. */
  private tellClusterNews(): void {
    const { version: _version, ...content } = this.clusterView();
    const text = JSON.stringify(content);
    if (text === this.clusterContent) return;
    this.clusterContent = text;
    this.clusterVersion += 1;
    this.updates.notify();
  }

  private async confirmConfiguration(): Promise<void> {
    const index = this.stateMachine.configurationIndex;
    const isApplied = ({ configuration }: KnownVersions): boolean => configuration >= index;
    await this.confirm('configuration', isApplied, CONFIGURATION_CONFIRM_MS);
  }

  private async confirmBackends(): Promise<void> {
    const index = this.stateMachine.backendsIndex;
    if (index !== this.publishedBackendsIndex) this.backendThrottle.flush();
    const isApplied = ({ backendsIndex }: KnownVersions): boolean => backendsIndex >= index;
    await this.confirm('backendsIndex', isApplied, BACKENDS_CONFIRM_MS);
  }

  private async confirmCrashes(version: CrashVersion): Promise<void> {
    const isApplied = ({ crashes }: KnownVersions): boolean =>
      !crashes || !isLater(version, crashes);
    await this.confirm('crashes', isApplied, CRASHES_CONFIRM_MS);
  }

  /** Waits until active gateways have applied a change, or the time limit has passed. */
  private async confirm(
    part: keyof KnownVersions,
    isApplied: (known: KnownVersions) => boolean,
    timeoutMs: number,
  ): Promise<void> {
    const leadingSince = this.group?.leadingSince ?? 0;
    const lagging = await this.confirmations.wait({ isApplied, timeoutMs, leadingSince });
    if (lagging.length === 0) return;
    const names = lagging.slice(0, MAX_LOGGED_GATEWAYS).join(',');
    const gateways = lagging.length;
    this.options.logger.warn('acknowledged before gateways hold it', { part, gateways, names });
  }

  private publishCrashes(): void {
    this.publishedCrashes = this.crashes.version;
    this.updates.notify();
  }

  private createCrashLeader(): CrashLeader {
    const {
      crashLimits: limits = DEFAULT_CRASH_LIMITS,
      heartbeatIntervalMs,
      logger,
    } = this.options;
    return new CrashLeader({
      limits,
      heartbeatIntervalMs,
      term: () => this.term,
      onUrgentChange: () => this.crashThrottle.schedule(),
      confirm: (version) => this.confirmCrashes(version),
      logger,
    });
  }

  private propose(command: DirectoryCommand): Promise<unknown> {
    return this.group!.propose(encodeValue(command));
  }
}

function namesOf(ids: ReadonlySet<string>): string {
  return [...ids].join(',');
}
