/** Gateway process: serves callers and forwards their calls to backends; keeps no durable state. */
import { randomBytes } from 'node:crypto';
import { Registry } from 'prom-client';
import {
  BackendTable,
  EngineClient,
  LoadFetcher,
  LoadPoller,
  ServiceClient,
} from '../backends/index.js';
import {
  CallRunner,
  CallerApi,
  dispatchTimeLeftMs,
  type CallContext,
  HistoryCache,
  ProgramHints,
  TenantAuthentication,
} from '../callers/index.js';
import { GroupClient, PeerDirectory } from '../consensus/index.js';
import { HttpServer, type RequestOutcome, shutdownTimingOf } from '../http/index.js';
import type { IntentDocument } from '../intents/index.js';
import { JournalClient } from '../journal/index.js';
import { RetryBudget } from '../limits/index.js';
import { ConfigurationFetcher, LeaseHolder } from '../membership/index.js';
import { ProcessMemory } from '../memory-budget/index.js';
import { GatewayMetrics, type Logger, StatusServer } from '../observability/index.js';
import { HoldPolicy } from '../retention/index.js';
import { PrefixHints, createRoutingPolicy } from '../routing/index.js';
import { Admission, createQueuePolicy } from '../scheduling/index.js';
import { type GatewaySettings, createAddressResolver } from '../settings/index.js';
import { GracefulShutdown } from '../shutdown/index.js';
import { MethodRouter } from '../wire/index.js';

const INCARNATION_BYTES = 6;
const RETRY_BUDGET_CAPACITY = 100;

export class GatewayProcess {
  private readonly incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
  private readonly metrics = new GatewayMetrics();
  private readonly memory: ProcessMemory;
  private readonly tenants = new TenantAuthentication(() => this.isCurrent);
  private readonly backends: BackendTable;
  private readonly loads: LoadFetcher;
  private readonly poller: LoadPoller;
  private readonly peers: PeerDirectory;
  private readonly context: CallContext;
  private readonly runner: CallRunner;
  private server!: HttpServer;
  private statusServer!: StatusServer;
  private readonly shutdown = new GracefulShutdown();

  private constructor(
    private readonly settings: GatewaySettings,
    private readonly logger: Logger,
  ) {
    const { queue, routing, calls, retention, cluster, memory } = settings;
    this.memory = new ProcessMemory({ memoryLimitBytes: memory.limit, logger });
    const resolveAddress = createAddressResolver(settings.network);
    this.backends = new BackendTable({
      ...queue,
      engineSubset: routing.engineSubset,
      owner: settings.node,
    });
    this.loads = new LoadFetcher(resolveAddress);
    this.poller = new LoadPoller({
      table: this.backends,
      maxAgeMs: routing.maxLoadAge,
      maxPollsPerSecond: routing.maxLoadPolls,
      fetchLoad: (backend) => this.loads.fetch(backend),
    });
    this.peers = new PeerDirectory({
      ownName: settings.node.name,
      secret: cluster.secret,
      router: new MethodRouter(),
      resolveAddress,
    });
    const groups = new GroupClient({ peers: this.peers, addresses: cluster.controlAddresses });
    const journal = new JournalClient({
      groups,
      groupCount: cluster.journalGroups,
      timeoutMs: calls.journalTimeout,
    });
    this.context = {
      identity: { id: settings.node.name, incarnation: this.incarnation },
      settings,
      memoryBudget: this.memory.budget,
      lease: this.createLease(groups),
      journal,
      backends: this.backends,
      engineAdmission: this.createAdmission(),
      serviceAdmission: this.createAdmission(),
      engines: new EngineClient({
        firstTokenTimeoutMs: calls.firstTokenTimeout,
        idleTimeoutMs: calls.idleTimeout,
      }),
      services: new ServiceClient(),
      histories: new HistoryCache(journal, calls.historyCache),
      hints: new ProgramHints(journal),
      holds: new HoldPolicy({
        policy: retention.policy,
        maxHoldMs: retention.maxHold,
        latencyWeight: retention.latencyWeight,
      }),
      prefixes: new PrefixHints(),
      retries: new RetryBudget({ capacity: RETRY_BUDGET_CAPACITY }),
      metrics: this.metrics,
      shutdown: this.shutdown,
      resolveAddress,
    };
    this.runner = new CallRunner(this.context, logger);
  }

  static async start(settings: GatewaySettings, logger: Logger): Promise<GatewayProcess> {
    const gateway = new GatewayProcess(settings, logger);
    await gateway.listen();
    gateway.context.lease.start();
    gateway.poller.start();
    return gateway;
  }

  /** Drains the HTTP server, then closes everything. */
  async stop(): Promise<void> {
    const timing = shutdownTimingOf(this.settings.shutdown.grace);
    this.shutdown.begin(timing);
    this.closeAdmissionInTime();
    const unsent = await this.server.drain({
      timing,
      interruptCalls: () => this.runner.interrupt(),
    });
    this.logger.info('drained', { ms: Math.round(this.shutdown.elapsedMs ?? 0), unsent });
    this.context.lease.stop();
    this.poller.stop();
    this.memory.stop();
    await this.loads.close();
    this.context.engineAdmission.close();
    this.context.serviceAdmission.close();
    // Before the connections to backends, so that calls whose attempts break now are settled by another gateway.
    this.peers.close();
    await this.context.engines.close();
    await this.context.services.close();
    this.statusServer.close();
  }

  private async listen(): Promise<void> {
    const { host, callerPort, statusPort } = this.settings.listen;
    const { context, runner, tenants } = this;
    const api = new CallerApi({ context, runner, tenants });
    const onError = (description: string): void =>
      this.logger.error('request failed', { description });
    this.server = await HttpServer.start({
      host,
      port: callerPort,
      router: api.router,
      onError,
      shutdown: this.shutdown,
      connections: { budget: this.memory.budget },
      onEndedByShutdown: (outcome) => this.noteEndedByShutdown(outcome),
    });
    this.registerGauges();
    this.statusServer = await StatusServer.start({
      host,
      port: statusPort,
      registry: Registry.merge([this.metrics.registry, this.memory.registry]),
      isReady: () => this.isCurrent && !this.shutdown.hasBegun,
    });
  }

  /** Whether the gateway holds a lease and has a configuration. */
  private get isCurrent(): boolean {
    const { lease } = this.context;
    return lease.isHeld && lease.revision > 0;
  }

  /** Calls that wait for a backend are refused as soon as they couldn't end in time if they were sent. */
  private closeAdmissionInTime(): void {
    const { context } = this;
    const { engineAdmission, serviceAdmission } = context;
    setTimeout(() => engineAdmission.close(), dispatchTimeLeftMs(context, 'model'));
    setTimeout(() => serviceAdmission.close(), dispatchTimeLeftMs(context, 'service'));
  }

  private noteEndedByShutdown(outcome: RequestOutcome): void {
    this.metrics.shutdownCalls.inc({ outcome });
  }

  private createLease(groups: GroupClient): LeaseHolder {
    const { node, listen, lease } = this.settings;
    const { peers } = this;
    const addresses = this.settings.cluster.controlAddresses;
    return new LeaseHolder({
      groups,
      fetcher: new ConfigurationFetcher({ peers, addresses }),
      gateway: node.name,
      incarnation: this.incarnation,
      address: `${listen.host}:${listen.callerPort}`,
      zone: node.zone,
      renewIntervalMs: lease.renewInterval,
      logger: this.logger,
      onConfiguration: (document, revision) => this.onConfiguration(document, revision),
      onLeaving: (machines) => this.backends.markLeaving(machines),
    });
  }

  private createAdmission(): Admission {
    const { queue, routing } = this.settings;
    return new Admission({
      maxWaiting: queue.maxWaiting,
      maxWaitMs: queue.maxWait,
      routing: createRoutingPolicy(routing.policy, routing.prefixWeight),
      queue: createQueuePolicy(queue.policy, (tenant) => this.tenants.weightOf(tenant)),
    });
  }

  private onConfiguration(document: IntentDocument, revision: number): void {
    this.tenants.update(document);
    this.backends.update(document);
    this.logger.info('configuration in force', { revision, backends: document.backends.length });
  }

  private registerGauges(): void {
    const { metrics, context, peers } = this;
    metrics.gauge('active_calls', 'Calls under way', () => this.runner.activeCalls);
    metrics.gauge(
      'waiting_calls',
      'Calls that wait for an engine',
      () => context.engineAdmission.waitingCalls,
    );
    metrics.gauge('lease_held', '1 while work may be started', () =>
      context.lease.isHeld ? 1 : 0,
    );
    metrics.gauge('revision', 'Configuration revision acted on', () => context.lease.revision);
    metrics.gauge('control_bytes_sent', 'Bytes to control', () => peers.totalTraffic.sent);
    metrics.gauge(
      'control_bytes_received',
      'Bytes from control',
      () => peers.totalTraffic.received,
    );
  }
}
