/** Gateway process: watches the directory and forwards calls. */
import { randomBytes } from 'node:crypto';
import { GatewayAdmission } from '../admission/index.js';
import { SignalEvent } from '../common/index.js';
import { GroupClient, PeerDirectory } from '../consensus/index.js';
import {
  type ClusterView,
  DIRECTORY_GROUP,
  DirectoryClient,
  DirectoryWatcher,
} from '../directory/index.js';
import {
  BackendView,
  type BackendProtocol,
  CallForwarder,
  ForwardingMetrics,
  Placement,
} from '../forwarding/index.js';
import { HistoryReader, LedgerClient, ValueCopySender } from '../ledger/index.js';
import { GatewayQuotas } from '../quotas/index.js';
import { type Logger, addGauge } from '../observability/index.js';
import {
  type EngineProperties,
  type RequestLimits,
  RouteTable,
  schedulingModeOf,
} from '../routes/index.js';
import { type TenantSnapshot, TenantTable, decideAccess, keyLeaseMs } from '../tenants/index.js';
import { MethodRouter } from '../wire/index.js';
import type { NodeSettings } from './node-settings.js';

export interface GatewayNodeOptions {
  settings: NodeSettings;
  protocol: BackendProtocol;
  logger: Logger;
}

/** Minimum number of connections to one backend, even if this gateway's share of the limit is lower. */
const MIN_CONNECTIONS = 2;
const DEFAULT_CONNECTIONS = 16;
const HOLDER_ID_BYTES = 6;

export class GatewayNode {
  readonly metrics = new ForwardingMetrics();
  readonly forwarder: CallForwarder;
  private readonly peers: PeerDirectory;
  private readonly controlClient: GroupClient;
  private readonly ledgerGroups: GroupClient;
  private readonly backends: BackendView;
  private readonly watcher: DirectoryWatcher;
  private readonly routesArrived = new SignalEvent();
  private routes: RouteTable | undefined;
  private tenants = new TenantTable(undefined);
  private readonly keyLeaseMs: number;
  private readonly quotas: GatewayQuotas;
  private readonly admission: GatewayAdmission;
  private isCoordinated = false;
  private gatewayCount = 1;
  private hasBackends = false;
  private isStopping = false;

  private constructor(private readonly options: GatewayNodeOptions) {
    const { settings, logger } = options;
    this.keyLeaseMs = keyLeaseMs(settings.revocationBoundMs);
    const holder = `${settings.name}-${randomBytes(HOLDER_ID_BYTES).toString('hex')}`;
    this.peers = new PeerDirectory({
      ownName: settings.name,
      secret: settings.secret,
      router: new MethodRouter(),
      resolveAddress: (address) => address,
    });
    this.controlClient = new GroupClient({ peers: this.peers, addresses: settings.controlSeeds });
    this.ledgerGroups = new GroupClient({ peers: this.peers, addresses: [] });
    this.backends = new BackendView({
      connections: (service) => this.connectionLimit(service),
      cacheTokens: (service) => this.engineOf(service)?.cacheTokens ?? Infinity,
      gateways: () => this.gatewayCount,
    });
    this.quotas = new GatewayQuotas({
      groups: this.controlClient,
      group: DIRECTORY_GROUP,
      gateway: settings.name,
      logger,
    });
    this.admission = new GatewayAdmission({
      isCoordinated: () => this.isCoordinated,
      registry: this.metrics.registry,
      logger,
    });
    this.watcher = this.createWatcher();
    this.addGauges();
    this.forwarder = new CallForwarder({
      routes: () => this.routes,
      waitForRoutes: (timeoutMs) => this.routesArrived.waitWithTimeout(timeoutMs),
      directoryAgeMs: () => this.watcher.leaderContactAgeMs,
      access: (route, key) => decideAccess(route, key, this.keyKnowledge),
      quotas: this.quotas,
      sharedAdmission: this.admission,
      backends: this.backends,
      placement: new Placement({ zone: settings.zone }),
      ledger: new LedgerClient(
        this.ledgerGroups,
        logger,
        holder,
        new HistoryReader(this.peers, logger),
        new ValueCopySender(this.peers),
      ),
      protocol: options.protocol,
      logger,
      metrics: this.metrics,
    });
  }

  static start(options: GatewayNodeOptions): GatewayNode {
    const node = new GatewayNode(options);
    node.watcher.start();
    return node;
  }

  /** Whether the gateway accepts new callers. */
  get isReady(): boolean {
    return this.routes !== undefined && this.hasBackends && this.areKeysCurrent && !this.isStopping;
  }

  get limits(): RequestLimits | undefined {
    return this.routes?.configuration.limits;
  }

  /** Reports the gateway as not ready; requests are still served. */
  startDraining(): void {
    this.isStopping = true;
  }

  updateSeeds(controlSeeds: string[]): void {
    this.options.settings.controlSeeds = controlSeeds;
    this.controlClient.setAddresses(controlSeeds);
  }

  stop(): void {
    this.watcher.stop();
    this.quotas.stop();
    this.forwarder.stop();
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

  /** Adds gauges for the age of the directory data and the configuration in force. */
  private addGauges(): void {
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
  }

  private createWatcher(): DirectoryWatcher {
    const { name, zone, internalAddress: address } = this.options.settings;
    return new DirectoryWatcher({
      client: new DirectoryClient(this.controlClient),
      announce: () => ({ name, role: 'gateway', address, zone }),
      loads: () => this.backends.loads(),
      demand: () => this.admission.demand(),
      logger: this.options.logger,
      onConfiguration: (configuration) => {
        this.routes = new RouteTable(configuration);
        this.isCoordinated = schedulingModeOf(configuration) === 'coordinated';
        this.tenants = new TenantTable(configuration.tenants);
        this.quotas.setLimits(configuration.tenants ?? []);
        this.routesArrived.notify();
      },
      onBackends: (records) => {
        this.hasBackends = true;
        this.backends.update(records);
      },
      onCluster: (view) => this.applyClusterView(view),
      onOtherLoads: (loads) => this.backends.updateOtherLoads(loads),
      onAdmission: (admission) => this.admission.apply(admission),
    });
  }

  private applyClusterView(view: ClusterView): void {
    const seeds = this.options.settings.controlSeeds;
    this.controlClient.setAddresses([...new Set([...view.controlAddresses, ...seeds])]);
    this.ledgerGroups.setAddresses(view.ledgerAddresses);
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
