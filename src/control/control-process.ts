/** The control process: replicated groups, the tasks of their leaders, and the operator API. */
import { join } from 'node:path';
import { Registry } from 'prom-client';
import { Agent } from 'undici';
import { sendOrder, sendRelease } from '../backends/control-requests.js';
import {
  checkConsensusOptions,
  GroupClient,
  type GroupConfiguration,
  GroupHost,
  type Member,
  PeerDirectory,
  type ReplicatedGroup,
  registerGroupService,
} from '../consensus/index.js';
import { HttpServer, shutdownTimingOf } from '../http/index.js';
import { INTENTS_GROUP } from '../intents/index.js';
import { AWAIT_SETTLED, JournalLeader, journalGroupNames } from '../journal/index.js';
import { DamagedLogError, SnapshotStore, WriteAheadLog } from '../log-store/index.js';
import { FETCH_CONFIGURATION, RENEW_LEASE } from '../membership/index.js';
import { ProcessMemory } from '../memory-budget/index.js';
import { type Logger, StatusServer } from '../observability/index.js';
import { CONFIGURATION_STATUS, OperatorApi } from '../operators/index.js';
import { type ControlSettings, createAddressResolver } from '../settings/index.js';
import { GracefulShutdown } from '../shutdown/index.js';
import { MethodRouter, RpcServer } from '../wire/index.js';
import { discoverCluster, registerProbe } from './cluster-formation.js';
import { ConfigurationServer } from './configuration-server.js';
import { HeldProgramReconciler } from './held-program-reconciler.js';
import { IdentityStore } from './identity.js';
import { IntentsLeader } from './intents-leader.js';
import { joinGroups } from './join-task.js';
import { MachineList } from './machine-list.js';
import { createControlMetrics } from './metrics.js';
import { placeGroup } from './placement.js';

export interface ControlProcessHooks {
  logger: Logger;
  /** Called when the process must exit because its storage or state can no longer be trusted. */
  onFatal: (error: unknown) => void;
}

/** Time in which requests of other processes that are under way are answered before the process ends, in milliseconds. */
const MAX_ANSWER_MS = 300;

type GroupLeader = IntentsLeader | JournalLeader;

export class ControlProcess {
  private readonly router = new MethodRouter();
  private readonly leaders = new Map<string, GroupLeader>();
  private readonly stopping = new AbortController();
  private readonly shutdown = new GracefulShutdown();
  private readonly agent = new Agent({ connections: 4 });
  private readonly resolveAddress: (address: string) => string;
  private readonly intents: IntentsLeader;
  private readonly memory: ProcessMemory;
  private identity!: IdentityStore;
  private wal!: WriteAheadLog;
  private peers!: PeerDirectory;
  private client!: GroupClient;
  private host!: GroupHost;
  private rpcServer!: RpcServer;
  private operatorServer!: HttpServer;
  private statusServer!: StatusServer;
  private reconciler: HeldProgramReconciler | undefined;
  private isReady = false;

  private constructor(
    private readonly settings: ControlSettings,
    private readonly hooks: ControlProcessHooks,
  ) {
    this.resolveAddress = createAddressResolver(settings.network);
    const { logger } = hooks;
    this.memory = new ProcessMemory({ memoryLimitBytes: settings.memory.limit, logger });
    const address = settings.platform.machineList;
    this.intents = new IntentsLeader({
      leaseMs: settings.lease.duration,
      sendOrder: (engine, order) => sendOrder(this.agent, this.resolveAddress(engine), order),
      machines: new MachineList({ agent: this.agent, address }),
    });
  }

  static async start(
    settings: ControlSettings,
    hooks: ControlProcessHooks,
  ): Promise<ControlProcess> {
    const process = new ControlProcess(settings, hooks);
    await process.openStorage();
    await process.listen();
    void process.enterCluster().catch(hooks.onFatal);
    return process;
  }

  /** Transfers leaderships, completes requests in flight and closes all resources. */
  async stop(): Promise<void> {
    const timing = shutdownTimingOf(this.settings.shutdown.grace);
    this.shutdown.begin(timing);
    this.stopping.abort();
    this.reconciler?.stop();
    await this.host.stop();
    await this.operatorServer.drain({ timing });
    for (const leader of this.leaders.values()) leader.stop();
    await this.rpcServer.drain(MAX_ANSWER_MS);
    this.peers.close();
    this.memory.stop();
    this.statusServer.close();
    await this.wal.close();
    await this.agent.destroy();
  }

  private async openStorage(): Promise<void> {
    const { settings, hooks } = this;
    this.identity = await IdentityStore.open(settings.dataFolder, settings.node.name);
    this.wal = await WriteAheadLog.open({
      folder: join(settings.dataFolder, 'log'),
      segmentBytes: settings.storage.segment,
      quotaBytes: settings.storage.quota,
      onFatal: hooks.onFatal,
    });
  }

  private async listen(): Promise<void> {
    const { settings, hooks, router } = this;
    const { host, internalPort, operatorPort, statusPort } = settings.listen;
    const { secret } = settings.cluster;
    const ownName = settings.node.name;
    const { resolveAddress } = this;
    this.peers = new PeerDirectory({ ownName, secret, router, resolveAddress });
    const addresses = settings.cluster.members.map((member) => member.address);
    this.client = new GroupClient({ peers: this.peers, addresses });
    this.host = this.createHost();
    this.registerHandlers();
    this.rpcServer = await RpcServer.start({ host, port: internalPort, secret, router });
    const { operators } = settings;
    const api = new OperatorApi({
      groups: this.client,
      host: this.host,
      operators,
      memoryBudget: this.memory.budget,
    });
    const onError = (description: string): void =>
      hooks.logger.error('operator request failed', { description });
    this.operatorServer = await HttpServer.start({
      host,
      port: operatorPort,
      router: api.router,
      onError,
      shutdown: this.shutdown,
      connections: { budget: this.memory.budget },
    });
    this.statusServer = await StatusServer.start({
      host,
      port: statusPort,
      registry: Registry.merge([
        createControlMetrics({ host: this.host, wal: this.wal, peers: this.peers }),
        this.memory.registry,
      ]),
      isReady: () => this.isReady,
    });
  }

  private createHost(): GroupHost {
    const { consensus } = this.settings;
    return new GroupHost({
      ownId: this.identity.identity.memberId,
      wal: this.wal,
      snapshots: new SnapshotStore(join(this.settings.dataFolder, 'snapshots')),
      peers: this.peers,
      options: checkConsensusOptions({
        heartbeatIntervalMs: consensus.heartbeatInterval,
        electionTimeoutMs: consensus.electionTimeout,
        snapshotEveryEntries: consensus.snapshotEveryEntries,
        trailingEntries: consensus.trailingEntries,
      }),
      logger: this.hooks.logger,
      onFatal: this.hooks.onFatal,
      onLeadershipChange: (group) => this.leaders.get(group.name)?.onLeadershipChange(),
    });
  }

  private registerHandlers(): void {
    const { router } = this;
    registerProbe(router, this.identity);
    this.host.registerHandlers(router);
    registerGroupService(router, this.host, {
      prepareCommand: (group, body) => this.leaders.get(group.name)!.prepareCommand(body),
      answerQuery: (group, body) => this.leaders.get(group.name)!.answerQuery(body),
    });
    router.handle(RENEW_LEASE, (request) => this.intents.renewLease(request));
    const configurations = new ConfigurationServer(this.intents.stateMachine);
    router.handle(FETCH_CONFIGURATION, (request) => configurations.serve(request));
    router.handle(AWAIT_SETTLED, async (request) => {
      const leader = this.leaders.get(request.group);
      const group = this.host.find(request.group);
      if (!(leader instanceof JournalLeader) || !group?.isLeader) {
        return { leaderAddress: group?.leaderAddress };
      }
      return { answer: await leader.awaitSettled(request) };
    });
    router.handle(CONFIGURATION_STATUS, async () => {
      const group = this.host.find(INTENTS_GROUP);
      if (!group?.isLeader) return { redirect: { leaderAddress: group?.leaderAddress } };
      await group.confirmLeadership();
      return { status: this.intents.status() };
    });
  }

  private async enterCluster(): Promise<void> {
    const { identity, peers } = this;
    const { logger } = this.hooks;
    const { signal } = this.stopping;
    const { members } = this.settings.cluster;
    const ownName = this.settings.node.name;
    await discoverCluster({ ownName, members, identity, peers, logger, signal });
    if (signal.aborted) return;
    if (identity.identity.state === 'founding') await this.foundGroups();
    const groups: ReplicatedGroup[] = [];
    for (const name of this.ownGroupNames()) groups.push(await this.openGroup(name));
    this.requireLog(groups);
    this.host.start();
    this.reconciler = this.createReconciler();
    this.reconciler.start();
    this.isReady = true;
    logger.info('serving', { member: identity.identity.memberId, groups: groups.length });
    if (identity.identity.state === 'joining') {
      const member = this.ownMember();
      await joinGroups({ groups, member, client: this.client, logger, signal });
      if (!signal.aborted) await identity.save({ ...identity.identity, state: 'member' });
    }
  }

  private async foundGroups(): Promise<void> {
    const { identity } = this;
    for (const name of this.ownGroupNames()) {
      const chosen = placeGroup(
        name,
        this.settings.cluster.members,
        this.settings.cluster.replicas,
      );
      const members = identity.identity.founders.filter((founder) =>
        chosen.some((member) => member.name === founder.name),
      );
      const configuration: GroupConfiguration = { members };
      await this.host.bootstrapGroup(name, configuration);
    }
    await identity.save({ ...identity.identity, state: 'member' });
  }

  /** A member that has lost its log must not vote. */
  private requireLog(groups: ReplicatedGroup[]): void {
    if (this.identity.identity.state !== 'member') return;
    const empty = groups.find((group) => group.log.lastIndex === 0);
    if (!empty) return;
    throw new DamagedLogError(
      'data folder has an identity but no log; restart with an empty data folder',
      {
        step: 'control.start',
        peer: empty.name,
      },
    );
  }

  private async openGroup(name: string): Promise<ReplicatedGroup> {
    const leader = name === INTENTS_GROUP ? this.intents : this.createJournalLeader();
    this.leaders.set(name, leader);
    const group = await this.host.openGroup(name, leader.stateMachine);
    leader.attach(group);
    return group;
  }

  private createJournalLeader(): JournalLeader {
    return new JournalLeader(async (backend, programs, fence) => {
      const { document } = this.intents.stateMachine;
      const intent = document.backends.find((candidate) => candidate.id === backend);
      // A backend that operators have removed counts as released.
      if (!intent) return true;
      return sendRelease(this.agent, this.resolveAddress(intent.address), programs, fence);
    });
  }

  private createReconciler(): HeldProgramReconciler {
    const { cluster, node } = this.settings;
    return new HeldProgramReconciler({
      ownName: node.name,
      memberNames: cluster.members.map((member) => member.name),
      groupCount: cluster.journalGroups,
      groups: this.client,
      agent: this.agent,
      document: () => this.intents.stateMachine.document,
      resolveAddress: this.resolveAddress,
    });
  }

  private ownGroupNames(): string[] {
    const { cluster, node } = this.settings;
    const names = [INTENTS_GROUP, ...journalGroupNames(cluster.journalGroups)];
    return names.filter((group) =>
      placeGroup(group, cluster.members, cluster.replicas).some(
        (member) => member.name === node.name,
      ),
    );
  }

  private ownMember(): Member {
    const { node, cluster } = this.settings;
    const { address } = cluster.members.find((member) => member.name === node.name)!;
    const id = this.identity.identity.memberId;
    return { id, name: node.name, address, role: 'learner' };
  }
}
