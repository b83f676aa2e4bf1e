/** Gateway process: watches the directory and forwards calls. */
import { randomBytes } from 'node:crypto';
import { BackendStatistics, StatisticsMetrics } from '../backend-statistics/index.js';
import { GatewayAdmission } from '../admission/index.js';
import { SignalEvent } from '../common/index.js';
import { GroupClient, PeerDirectory } from '../consensus/index.js';
import {
  CrashGuardMetrics,
  DEFAULT_CRASH_LIMITS,
  GatewayCrashGuard,
} from '../crash-guard/index.js';
import {
  type ClusterView,
  DIRECTORY_GROUP,
  DirectoryClient,
  DirectoryWatcher,
  WATCH_LONG_POLL_MS,
  ledgerGroupsOf,
} from '../directory/index.js';
import {
  AGING_INTERVAL_MS,
  BackendView,
  type BackendProtocol,
  CallForwarder,
  ForwardingMetrics,
  Placement,
} from '../forwarding/index.js';
import {
  CutOffSignal,
  EventLoopMeter,
  GatewayHealth,
  HealthMetrics,
} from '../gateway-health/index.js';
import { HistoryReader, LedgerClient, LedgerRouter, ValueCopySender } from '../ledger/index.js';
import type { ServerConnections } from '../http/index.js';
import { GatewayQuotas } from '../quotas/index.js';
import { type MemoryBudget, ProcessMemory } from '../memory-budget/index.js';
import { type Logger, addGauge } from '../observability/index.js';
import {
  type EngineProperties,
  type RequestLimits,
  type RouteConfiguration,
  RouteTable,
  type SchedulingMode,
  schedulingModeOf,
  usesSharedAdmission,
} from '../routes/index.js';
import {
  type DrainableServer,
  GracefulShutdown,
  type ShutdownTiming,
  drainServer,
} from '../shutdown/index.js';
import { type TenantSnapshot, TenantTable, decideAccess, keyLeaseMs } from '../tenants/index.js';
import { PermitGate, WaitingMetrics } from '../waiting/index.js';
import { MethodRouter } from '../wire/index.js';
import type { NodeSettings } from './node-settings.js';
import { ProcessLoadLog } from './process-load-log.js';

/** How a gateway receives calls. */
export interface IngressPolicy {
  limits: RequestLimits;
  /** Undefined for a server that holds nothing for long, as in tests. */
  memoryBudget: MemoryBudget | undefined;
  /** Unsent bytes of an answer up to which its backend is not paused. */
  answerShareBytes?: number;
}

/** The server of a gateway's callers. */
export interface GatewayServer extends DrainableServer {
  readonly connections: ServerConnections;
}

export interface GatewayNodeOptions {
  settings: NodeSettings;
  protocol: BackendProtocol;
  logger: Logger;
}

/** Minimum number of connections to one backend, even if this gateway's share of the limit is lower. */
const MIN_CONNECTIONS = 2;
const DEFAULT_CONNECTIONS = 16;
const HOLDER_ID_BYTES = 6;
/** Time in which the last settlements are committed, beside the last responses, in milliseconds. */
const SETTLEMENT_FLUSH_MS = 150;

export class GatewayNode {
  readonly metrics = new ForwardingMetrics();
  readonly forwarder: CallForwarder;
  private readonly peers: PeerDirectory;
  private readonly controlClient: GroupClient;
  private readonly directory: DirectoryClient;
  private readonly ledgerGroups: GroupClient;
  private readonly statistics: BackendStatistics;
  private readonly backends: BackendView;
  private readonly watcher: DirectoryWatcher;
  private readonly routesArrived = new SignalEvent();
  private routes: RouteTable | undefined;
  private schedulingMode: SchedulingMode = 'independent';
  private usesSharedAdmission = false;
  private readonly permits: PermitGate;
  private tenants = new TenantTable(undefined);
  private readonly keyLeaseMs: number;
  private readonly quotas: GatewayQuotas;
  private readonly crashGuard: GatewayCrashGuard;
  private readonly cutOffSignal = new CutOffSignal();
  private readonly ledger: LedgerRouter;
  private readonly health: GatewayHealth;
  private hasLedger = false;
  private readonly memory: ProcessMemory;
  private readonly admission: GatewayAdmission;
  private gatewayCount = 1;
  private hasBackends = false;
  private readonly shutdown = new GracefulShutdown();
  private agingTimer: NodeJS.Timeout | undefined;
  private loadLog: ProcessLoadLog | undefined;

  private constructor(private readonly options: GatewayNodeOptions) {
    const { settings, logger } = options;
    this.keyLeaseMs = keyLeaseMs(settings.revocationBoundMs);
    this.peers = new PeerDirectory({
      ownName: settings.name,
      secret: settings.secret,
      router: new MethodRouter(),
      resolveAddress: (address) => address,
    });
    this.controlClient = new GroupClient({ peers: this.peers, addresses: settings.controlSeeds });
    this.directory = new DirectoryClient(this.controlClient);
    this.ledgerGroups = new GroupClient({ peers: this.peers, addresses: [] });
    this.statistics = new BackendStatistics({
      zone: settings.zone,
      metrics: new StatisticsMetrics(this.metrics.registry),
    });
    const limits = {
      connections: (service: string) => this.connectionLimit(service),
      cacheTokens: (service: string) => this.engineOf(service)?.cacheTokens ?? Infinity,
      gateways: () => this.gatewayCount,
    };
    this.backends = new BackendView(limits, this.statistics);
    this.quotas = new GatewayQuotas({
      groups: this.controlClient,
      group: DIRECTORY_GROUP,
      gateway: settings.name,
      logger,
    });
    this.crashGuard = new GatewayCrashGuard({
      groups: this.controlClient,
      group: DIRECTORY_GROUP,
      gateway: settings.name,
      leaderAgeMs: () => this.watcher.leaderContactAgeMs,
      limits: settings.crashLimits ?? DEFAULT_CRASH_LIMITS,
      logger,
      metrics: new CrashGuardMetrics(this.metrics.registry),
    });
    this.ledger = this.createLedger();
    this.health = this.createHealth();
    this.permits = this.createPermitGate();
    this.memory = new ProcessMemory({
      memoryLimitBytes: settings.memoryLimitBytes,
      logger,
      registry: this.metrics.registry,
    });
    this.admission = new GatewayAdmission({
      isEnabled: () => this.usesSharedAdmission,
      logger,
      registry: this.metrics.registry,
    });
    this.watcher = this.createWatcher();
    this.addGauges();
    this.forwarder = this.createForwarder();
  }

  static start(options: GatewayNodeOptions): GatewayNode {
    const node = new GatewayNode(options);
    node.watcher.start();
    node.agingTimer = setInterval(() => node.backends.ageOtherLoads(), AGING_INTERVAL_MS);
    node.loadLog = new ProcessLoadLog(options.logger);
    return node;
  }

  /** Whether the gateway accepts new callers. */
  get isReady(): boolean {
    const isInformed = this.routes !== undefined && this.hasBackends && this.areKeysCurrent;
    return isInformed && this.health.isReady && !this.shutdown.hasBegun;
  }

  /** Whether responses close their connections, so that callers move to another gateway. */
  get shouldCloseConnections(): boolean {
    return this.health.isActive && !this.isReady;
  }

  /** Budget of all that the gateway holds for its callers and back ends. */
  get memoryBudget(): MemoryBudget {
    return this.memory.budget;
  }

  /** How calls are received; undefined before the first configuration, so that no call is received by a default. */
  get ingressPolicy(): IngressPolicy | undefined {
    if (!this.routes) return undefined;
    const { budget } = this.memory;
    return {
      limits: this.routes.configuration.limits,
      memoryBudget: budget,
      answerShareBytes: this.isCoordinated ? budget.fairShareBytes : 0,
    };
  }

  /** Resolves when a configuration is in force or after the timeout. */
  async waitForConfiguration(timeoutMs: number): Promise<void> {
    if (!this.routes) await this.routesArrived.waitWithTimeout(timeoutMs);
  }

  /** Reports the gateway as not ready, serves requests that can be completed in time, and closes the server. */
  async drain(server: GatewayServer, timing: ShutdownTiming): Promise<void> {
    const { shutdown, forwarder } = this;
    shutdown.begin(timing);
    forwarder.noteShutdown();
    let settlements: Promise<number> | undefined;
    const interruptCalls = async (): Promise<void> => {
      await forwarder.interruptCalls();
      settlements = this.ledger.flushSettlements(SETTLEMENT_FLUSH_MS);
    };
    const unsent = await drainServer({ server, shutdown, interruptCalls });
    const unsettled = await settlements;
    const { elapsedMs = 0 } = shutdown;
    this.options.logger.info('drained', {
      ms: Math.round(elapsedMs),
      outcomes: forwarder.shutdownOutcomes,
      unsent,
      dropped: server.connections.droppedRequests,
      unsettled,
    });
  }

  updateSeeds(controlSeeds: string[]): void {
    this.options.settings.controlSeeds = controlSeeds;
    this.controlClient.setAddresses(controlSeeds);
  }

  stop(): void {
    clearInterval(this.agingTimer);
    this.loadLog?.stop();
    this.memory.stop();
    this.watcher.stop();
    this.health.stop();
    this.quotas.stop();
    this.crashGuard.stop();
    this.forwarder.stop();
    this.permits.stop();
    this.peers.close();
  }

  /** Whether the known API keys are recent enough, if any tenant requires a key. */
  private get areKeysCurrent(): boolean {
    const { tenants, ageMs, leaseMs } = this.keyKnowledge;
    return !tenants.requiresKeys || ageMs < leaseMs;
  }

  private get keyKnowledge(): TenantSnapshot {
    const { tenants, keyLeaseMs: leaseMs } = this;
    return { tenants, ageMs: this.watcher.confirmedAgeMs, leaseMs };
  }

  /** Adds gauges for the backends, the age of the directory data and the configuration in force. */
  private addGauges(): void {
    this.metrics.addBackendsGauge(() => this.backends.countByVersion());
    const add = (name: string, help: string, read: () => number): void =>
      addGauge(this.metrics.registry, `ledgegauge_directory_${name}`, help, read);
    add(
      'age_seconds',
      "Time since the directory's leader last answered",
      () => this.watcher.leaderContactAgeMs / 1_000,
    );
    add(
      'generation',
      'Generation of the configuration in force; 0 before the first',
      () => this.routes?.configuration.generation ?? 0,
    );
    addGauge(
      this.metrics.registry,
      'ledgegauge_ledger_delay_seconds',
      "Mean delay of the ledger's commands by load, as last told by its leaders; the largest of its groups",
      () => this.ledger.delayMs / 1_000,
    );
  }

  private get isCoordinated(): boolean {
    return this.schedulingMode === 'coordinated';
  }

  private createLedger(): LedgerRouter {
    const { name } = this.options.settings;
    const holder = `${name}-${randomBytes(HOLDER_ID_BYTES).toString('hex')}`;
    return new LedgerRouter((group) => this.createLedgerClient(holder, group));
  }

  private createLedgerClient(holder: string, group: string): LedgerClient {
    const { logger } = this.options;
    return new LedgerClient(
      this.ledgerGroups,
      logger,
      holder,
      new HistoryReader(this.peers, logger, group),
      new ValueCopySender(this.peers, group),
      this.cutOffSignal,
      group,
    );
  }

  private createPermitGate(): PermitGate {
    return new PermitGate({
      isActive: () => this.isCoordinated,
      backends: (service) => this.backends.serving(service),
      typicalMs: (service) => this.backends.typicalMs(service),
      gateways: () => this.gatewayCount,
      memoryBudget: () => this.memory.budget,
      onFiguresOverdue: (service) => this.backends.levelOtherLoads(service),
      logger: this.options.logger,
      metrics: new WaitingMetrics(this.metrics.registry),
    });
  }

  private createForwarder(): CallForwarder {
    const { settings, protocol, logger } = this.options;
    return new CallForwarder({
      routes: () => this.routes,
      directoryAgeMs: () => this.watcher.leaderContactAgeMs,
      access: (route, key) => decideAccess(route, key, this.keyKnowledge),
      quotas: this.quotas,
      sharedAdmission: this.admission,
      backends: this.backends,
      placement: new Placement({ zone: settings.zone, statistics: this.statistics }),
      ledger: this.ledger,
      findServiceVersions: (services, withinMs) =>
        this.directory.serviceVersions(services, withinMs),
      protocol,
      logger,
      metrics: this.metrics,
      permits: this.permits,
      crashGuard: this.crashGuard,
      shutdown: this.shutdown,
    });
  }

  private createHealth(): GatewayHealth {
    return new GatewayHealth({
      directoryLeader: () => this.controlClient.lastHeardLeader(DIRECTORY_GROUP),
      directoryHoldMs: WATCH_LONG_POLL_MS,
      ledger: this.ledger,
      hasLedger: () => this.hasLedger,
      signal: this.cutOffSignal,
      meter: new EventLoopMeter(),
      logger: this.options.logger,
      metrics: new HealthMetrics(this.metrics.registry),
    });
  }

  private createWatcher(): DirectoryWatcher {
    const { name, zone, internalAddress: address } = this.options.settings;
    return new DirectoryWatcher({
      client: this.directory,
      announce: () => ({ name, role: 'gateway', address, zone }),
      loads: () => this.backends.loads(),
      health: () => this.health.nextReport(),
      waiting: () => this.permits.report(),
      demand: () => this.admission.demand(),
      logger: this.options.logger,
      onConfiguration: (configuration) => this.applyConfiguration(configuration),
      onBackends: (records) => {
        this.hasBackends = true;
        this.backends.update(records);
      },
      onCluster: (view) => this.applyClusterView(view),
      onOtherLoads: (loads) => this.backends.updateOtherLoads(loads),
      takeStatistics: () => this.statistics.takeReport(),
      onStatistics: (packed) => this.statistics.apply(packed),
      onZoneHealth: (zone, requestedAt) => this.health.applyZoneHealth(zone, requestedAt),
      onOtherWaiting: (waiting) => this.permits.updateFigures(waiting),
      onAdmission: (admission) => this.admission.apply(admission),
      crashVersion: () => this.crashGuard.version,
      onCrashes: (view) => this.crashGuard.applyView(view),
    });
  }

  private applyConfiguration(configuration: RouteConfiguration): void {
    this.routes = new RouteTable(configuration);
    this.tenants = new TenantTable(configuration.tenants);
    this.quotas.setLimits(configuration.tenants ?? []);
    this.schedulingMode = schedulingModeOf(configuration);
    this.usesSharedAdmission = usesSharedAdmission(configuration);
    this.statistics.setMode(this.schedulingMode);
    this.health.setMode(this.schedulingMode);
    this.routesArrived.notify();
  }

  private applyClusterView(view: ClusterView): void {
    const seeds = this.options.settings.controlSeeds;
    this.controlClient.setAddresses([...new Set([...view.controlAddresses, ...seeds])]);
    const groups = ledgerGroupsOf(view);
    this.ledger.setGroups(groups.map(({ name }) => name));
    this.hasLedger = groups.length > 0;
    // Before the ledger is founded, it is unknown to which group a program belongs.
    this.ledgerGroups.setAddresses(this.hasLedger ? view.ledgerAddresses : []);
    this.gatewayCount = view.gatewayCount;
  }

  /** Returns this gateway's share of a backend's connection limit. */
  private connectionLimit(service: string): number {
    const limit = this.routes?.service(service)?.maxConnections;
    if (limit === undefined) return DEFAULT_CONNECTIONS;
    return Math.max(MIN_CONNECTIONS, Math.floor(limit / this.gatewayCount));
  }

  private engineOf(service: string): EngineProperties | undefined {
    return this.routes?.service(service)?.engine;
  }
}
