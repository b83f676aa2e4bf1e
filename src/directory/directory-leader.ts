/**
 * What the directory's leader does beside replicating: takes orders and registrations, answers
 * watchers, founds the ledger group, and takes silent back ends out.
 */
import { LedgegaugeError, SignalEvent, describeError, monotonicMs } from '../common/index.js';
import type { ReplicatedGroup } from '../consensus/index.js';
import type { Logger } from '../observability/index.js';
import { encodeValue } from '../wire/index.js';
import { EventLoopThrottle } from './answer-turns.js';
import type { BackendRegistration } from './backend-registration.js';
import type { DirectoryCommand } from './directory-commands.js';
import { DirectoryStateMachine, type RetirementState } from './directory-state-machine.js';
import { type ConfirmedPart, GatewayConfirmations } from './gateway-confirmations.js';
import { HeartbeatTable } from './heartbeat-table.js';
import type { Incarnation } from './incarnation.js';
import { LedgerBootstrap } from './ledger-bootstrap.js';
import { LoadReportStore } from './load-board.js';
import type {
  ClusterView,
  DirectoryView,
  KnownVersions,
  NodeAnnouncement,
  PutConfigurationRequest,
  RetirementResponse,
  WatchRequest,
} from './messages.js';
import { NotificationThrottle } from './notification-throttle.js';
import { NodeRoster } from './node-roster.js';
import { SilentBackendTracker } from './silent-backend-tracker.js';

/** How long a watcher waits for news at most, in milliseconds. */
export const WATCH_LONG_POLL_MS = 200;
/**
 * A change wakes the questions of all watchers. Answered in one turn of the event loop, they kept heartbeats and votes
 * back, and a leader of a tenth of a core lost its lead for its watchers alone.
 */
const ANSWERS_PER_TURN = 8;
const HOUSEKEEPING_INTERVAL_MS = 250;
/** Changes of the cluster within this time are told together, in milliseconds. */
const CLUSTER_NEWS_DELAY_MS = 100;
/**
 * Changes of back ends within this time are told together, in milliseconds: while a fleet registers, each of its gateways is
 * answered so often and not once for each back end.
 */
const BACKEND_NEWS_INTERVAL_MS = 100;
/** A new leader has not heard of every process before this time, in milliseconds. */
const ROSTER_COMPLETE_AFTER_MS = 1_200;

export interface DirectoryLeaderOptions {
  /** Voters that the ledger group should have. */
  ledgerVoters: number;
  /** Time between two heartbeats of a back end, in milliseconds. */
  heartbeatIntervalMs: number;
  /** Members of the directory's own group, for watchers. */
  controlAddresses: () => string[];
  logger: Logger;
}

const SILENT_AFTER_INTERVALS = 2.2;
const REMOVED_AFTER_INTERVALS = 12;

/**
 * An acknowledged configuration is waited for so long at gateways that lag, in milliseconds. With the commit it
 * stays below the second after which an operator sends an order again.
 */
export const CONFIGURATION_CONFIRM_MS = 800;
/** The same for a back end that leaves, whose call is given up after 0.8 s, in milliseconds. */
export const BACKENDS_CONFIRM_MS = 500;
/** Names of lagging gateways in one log line. */
const MAX_LOGGED_GATEWAYS = 8;

/** The answer to a retirement order was not certain: this leader is too new to know all machines. */
export class RosterIncompleteError extends LedgegaugeError {}

export class DirectoryLeader {
  readonly stateMachine: DirectoryStateMachine;
  private readonly roster = new NodeRoster();
  private readonly loads = new LoadReportStore();
  private readonly confirmations = new GatewayConfirmations();
  private readonly heartbeats: HeartbeatTable;
  private readonly founding: LedgerBootstrap;
  private readonly news = new SignalEvent();
  private readonly answerTurns = new EventLoopThrottle(ANSWERS_PER_TURN);
  private readonly timer: NodeJS.Timeout;
  private group: ReplicatedGroup | undefined;
  private clusterVersion = 0;
  /** What the latest cluster version stands for, to tell whether anything has changed. */
  private clusterContent = '';
  private clusterTimer: NodeJS.Timeout | undefined;
  private readonly silence = new SilentBackendTracker();
  /** Log index of the changes of back ends for which waiting questions are answered. */
  private toldBackendsIndex = 0;
  private toldConfigurationIndex = 0;
  private readonly backendNewsPacer = new NotificationThrottle(BACKEND_NEWS_INTERVAL_MS, () =>
    this.tellBackends(),
  );
  private isHousekeeping = false;

  constructor(private readonly options: DirectoryLeaderOptions) {
    this.stateMachine = new DirectoryStateMachine(() => this.onStateChanged());
    this.heartbeats = new HeartbeatTable({
      silentAfterMs: options.heartbeatIntervalMs * SILENT_AFTER_INTERVALS,
      removeAfterMs: options.heartbeatIntervalMs * REMOVED_AFTER_INTERVALS,
    });
    this.founding = new LedgerBootstrap(options.ledgerVoters);
    this.timer = setInterval(() => void this.keepHouse(), HOUSEKEEPING_INTERVAL_MS);
  }

  attach(group: ReplicatedGroup): void {
    this.group = group;
  }

  onLeadershipChange(): void {
    this.heartbeats.clear();
    this.silence.clear();
    this.loads.clear();
    this.confirmations.clear();
    this.roster.clear();
    this.clusterVersion += 1;
    this.news.notify();
  }

  stop(): void {
    clearInterval(this.timer);
    clearTimeout(this.clusterTimer);
    this.backendNewsPacer.stop();
    this.news.notify();
  }

  /** Resolves when it is committed and gateways in touch act by it, or have been given time to. */
  async putConfiguration(request: PutConfigurationRequest): Promise<void> {
    const { generation } = request;
    const held = this.stateMachine.configuration?.generation;
    // What is held is committed, so an order that it overtook, or that is sent again, is done.
    if (held !== undefined && held >= generation) {
      this.options.logger.info('configuration overtaken', { generation, held });
    } else {
      const command: DirectoryCommand = { kind: 'put-configuration', ...request };
      await this.propose(command);
      this.options.logger.info('configuration committed', { generation });
    }
    await this.confirm('configuration', CONFIGURATION_CONFIRM_MS);
  }

  /** For a back end that leaves, resolves when gateways in touch know, or after a while. */
  async recordHeartbeat(registration: BackendRegistration): Promise<void> {
    const { id, service, phase, address } = registration;
    this.heartbeats.note(id);
    if (this.stateMachine.isChange(registration)) {
      await this.propose({ kind: 'register-backend', registration });
      this.options.logger.info('back end registered', { id, service, phase, address });
    }
    if (phase === 'draining') await this.confirm('backendsIndex', BACKENDS_CONFIRM_MS);
  }

  /** Resolves when gateways in touch know, or after a while. */
  async removeBackend(incarnation: Incarnation): Promise<void> {
    for (const id of this.stateMachine.idsOf(incarnation)) {
      if (this.stateMachine.hasDeparted(id)) continue;
      await this.propose({ kind: 'remove-backend', id, hasDeparted: true });
      this.options.logger.info('back end departed', { id });
    }
    await this.confirm('backendsIndex', BACKENDS_CONFIRM_MS);
  }

  /** @throws RosterIncompleteError while this leader cannot tell which machines there are */
  async startRetirement(node: string): Promise<RetirementResponse> {
    if (this.stateMachine.retirements.has(node)) return 'accepted';
    const known = this.roster.find(node);
    const isNew = monotonicMs() - (this.group?.leadingSince ?? 0) < ROSTER_COMPLETE_AFTER_MS;
    if (isNew) {
      const context = { step: 'directory.start-retirement', peer: node, retriable: true };
      throw new RosterIncompleteError('leading for too short a time', context);
    }
    if (known?.role !== 'journal') return 'unknown-node';
    const remaining = this.roster
      .present('journal')
      .filter((other) => other.name !== node && !this.stateMachine.retirements.has(other.name));
    if (remaining.length < this.options.ledgerVoters) return 'too-few-left';
    await this.propose({ kind: 'start-retirement', node });
    this.options.logger.info('retirement started', { node, remaining: remaining.length });
    return 'accepted';
  }

  /** Resolves once it is committed what may be out of tenants' limits. */
  async commitQuotaShares(out: { gateways: string[]; tenants: string[] }): Promise<void> {
    const { gateways, tenants } = out;
    await this.propose({ kind: 'set-quota-shares', gateways, tenants });
    const counts = { gateways: gateways.length, tenants: tenants.length };
    this.options.logger.info('shares of limits committed', counts);
  }

  async completeRetirement(node: string): Promise<void> {
    await this.propose({ kind: 'complete-retirement', node });
    this.options.logger.info('retirement complete', { node });
  }

  retirementState(node: string): RetirementState | 'none' {
    return this.stateMachine.retirements.get(node) ?? 'none';
  }

  /**
   * Answers with what is newer than the watcher knows, or with nothing after a while. Only gateways
   * need configurations and back ends.
   */
  async watch(request: WatchRequest): Promise<DirectoryView> {
    this.noteNode(request.node);
    if (request.node.role === 'gateway') {
      this.loads.report(request.node.name, request.loads);
      this.confirmations.note(request.node.name, request.known);
    }
    const deadline = monotonicMs() + WATCH_LONG_POLL_MS;
    while (!request.isUrgent && !this.hasNewsFor(request) && this.group?.isLeader) {
      const left = deadline - monotonicMs();
      if (left <= 0) break;
      await this.news.waitWithTimeout(left);
      await this.answerTurns.next();
    }
    const view = this.viewFor(request);
    if (request.node.role === 'gateway') view.loads = this.loads.totalsFor(request.node.name);
    view.confirmedAgeMs = this.confirmedAgeMs;
    return view;
  }

  /** Whether a question need not wait any longer. */
  private hasNewsFor({ node, known }: WatchRequest): boolean {
    if (this.clusterVersionFor(known)) return true;
    if (node.role !== 'gateway') return false;
    return (
      this.stateMachine.configurationIndex > known.configuration ||
      this.toldBackendsIndex > known.backendsIndex ||
      this.silence.hasUpdateFor(known.silence, this.term)
    );
  }

  /** What is newer than the watcher knows; calls under way are added to the answer itself. */
  private viewFor({ node, known }: WatchRequest): DirectoryView {
    const { stateMachine } = this;
    const view: DirectoryView = { confirmedAgeMs: Infinity };
    const leads = this.group?.isLeader ?? false;
    // A deposed leader's counts would pass for the next one's: its term is known here already.
    if (leads && this.clusterVersionFor(known)) view.cluster = this.clusterView();
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
    // One who holds none is told when there are none.
    if (backendsIndex > known.backendsIndex || known.backendsIndex === 0) {
      view.backends = backendUpdates.updateSince(known.backendsIndex);
    }
    if (leads && this.silence.hasUpdateFor(known.silence, this.term)) {
      view.silence = this.silence.updateSince(known.silence, this.term);
    }
    return view;
  }

  /** On the monotonic clock, so that a standstill of this process counts. */
  private get confirmedAgeMs(): number {
    return this.group ? monotonicMs() - this.group.quorumContactMs() : Infinity;
  }

  private get term(): number {
    return this.group?.term ?? 0;
  }

  private clusterVersionFor(known: KnownVersions): boolean {
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
      retirements: [...this.stateMachine.retirements],
      gatewayCount: Math.max(1, this.roster.present('gateway').length),
    };
  }

  private ledgerAddresses(): string[] {
    const announced = this.roster.known('journal').map((node) => node.address);
    const founding = this.stateMachine.ledgerFounders.map((member) => member.address);
    return [...new Set([...announced, ...founding])];
  }

  private noteNode(node: NodeAnnouncement): void {
    if (!this.roster.note(node)) return;
    if (node.role === 'journal') this.founding.noteJournal();
    this.options.logger.info('process announced', { node: node.name, role: node.role });
    this.scheduleClusterNews();
  }

  private async keepHouse(): Promise<void> {
    if (!this.group?.isLeader || this.isHousekeeping) return;
    this.isHousekeeping = true;
    try {
      this.refreshSilent();
      this.roster.forgetSilent();
      this.tellClusterNews();
      await this.foundLedgerIfDue();
      await this.removeLostBackends();
    } catch (error) {
      this.options.logger.warn('housekeeping failed', { description: describeError(error) });
    } finally {
      this.isHousekeeping = false;
    }
  }

  private refreshSilent(): void {
    const { backends } = this.stateMachine;
    this.heartbeats.keepOnly(backends);
    const before = this.silence.ids;
    const silent = this.heartbeats.silentOf(backends.keys());
    if (!this.silence.update(silent)) return;
    this.options.logger.info('silent back ends changed', {
      silent: namesOf(silent),
      before: namesOf(before),
    });
    this.news.notify();
  }

  private async removeLostBackends(): Promise<void> {
    for (const id of [...this.stateMachine.backends.keys()]) {
      if (!this.heartbeats.isLost(id)) continue;
      await this.propose({ kind: 'remove-backend', id, hasDeparted: false });
      this.options.logger.warn('back end lost', { id });
    }
  }

  private async foundLedgerIfDue(): Promise<void> {
    if (this.stateMachine.ledgerFounders.length > 0) return;
    const founders = this.founding.dueFounders(this.roster.present('journal'));
    if (!founders) return;
    await this.propose({ kind: 'found-ledger', founders });
    const names = founders.map((member) => member.name).join(',');
    this.options.logger.info('ledger group founded', { founders: names });
  }

  private onStateChanged(): void {
    const { configurationIndex, backendsIndex } = this.stateMachine;
    if (configurationIndex !== this.toldConfigurationIndex) this.news.notify();
    this.toldConfigurationIndex = configurationIndex;
    if (backendsIndex !== this.toldBackendsIndex) this.backendNewsPacer.schedule();
    this.scheduleClusterNews();
  }

  private tellBackends(): void {
    this.toldBackendsIndex = this.stateMachine.backendsIndex;
    this.news.notify();
  }

  /** Many processes announce themselves at once; each piece of news goes to every watcher. */
  private scheduleClusterNews(): void {
    this.clusterTimer ??= setTimeout(() => {
      this.clusterTimer = undefined;
      this.tellClusterNews();
    }, CLUSTER_NEWS_DELAY_MS);
  }

  /** Makes a new version of the cluster's view if it differs from the one before. */
  private tellClusterNews(): void {
    const { version: _version, ...content } = this.clusterView();
    const text = JSON.stringify(content);
    if (text === this.clusterContent) return;
    this.clusterContent = text;
    this.clusterVersion += 1;
    this.news.notify();
  }

  /** Waits until gateways in touch hold what this leader holds of a part of the directory now. */
  private async confirm(part: ConfirmedPart, timeoutMs: number): Promise<void> {
    const { configurationIndex, backendsIndex } = this.stateMachine;
    const index = part === 'configuration' ? configurationIndex : backendsIndex;
    const leadingSince = this.group?.leadingSince ?? 0;
    if (index !== this.toldBackendsIndex && part === 'backendsIndex') this.backendNewsPacer.flush();
    const lagging = await this.confirmations.wait({ part, index, timeoutMs, leadingSince });
    if (lagging.length === 0) return;
    const names = lagging.slice(0, MAX_LOGGED_GATEWAYS).join(',');
    const gateways = lagging.length;
    this.options.logger.warn('acknowledged before gateways hold it', { part, gateways, names });
  }

  private propose(command: DirectoryCommand): Promise<unknown> {
    return this.group!.propose(encodeValue(command));
  }
}

function namesOf(ids: ReadonlySet<string>): string {
  return [...ids].join(',');
}
