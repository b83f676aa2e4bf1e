/** Common base of control and journal processes: storage, internal RPC endpoint and consensus groups. */
import { join } from 'node:path';
import type { Registry } from 'prom-client';
import {
  type GroupClient,
  type GroupConfiguration,
  GroupHost,
  type Member,
  PeerDirectory,
  type ReplicatedGroup,
  type StateMachine,
  checkConsensusOptions,
  type ConsensusOptions,
} from '../consensus/index.js';
import {
  LeaderBalancer,
  REQUEST_ADMISSION,
  VoterSetManager,
  runAdmissionTask,
} from '../clustering/index.js';
import { monotonicMs } from '../common/index.js';
import { IdentityStore } from '../control/identity.js';
import { DamagedLogError, SnapshotStore, WriteAheadLog } from '../log-store/index.js';
import { type Logger, addGauge } from '../observability/index.js';
import { MethodRouter, RpcServer } from '../wire/index.js';
import { MemberLoadLog } from './member-load-log.js';
import { ProcessLoadLog } from './process-load-log.js';
import { ProcessLoadMeter } from './process-load.js';
import { createMemberMetrics } from './node-metrics.js';
import { type NodeSettings, hostOf, portOf, voterCountFor } from './node-settings.js';

export interface GroupMemberOptions {
  settings: NodeSettings;
  consensus: ConsensusOptions;
  /** Maximum size of the log's segments. @default no limit */
  logQuotaBytes: number | undefined;
  isRetiring: (name: string) => boolean;
  onLeadershipChange: (group: ReplicatedGroup) => void;
  logger: Logger;
  onFatal: (error: unknown) => void;
}

/** A group to join. */
export interface JoinedGroup {
  name: string;
  stateMachine: StateMachine;
  /** Finds the leader. */
  client: GroupClient;
  /** Options of this group, where they differ from those of the process. */
  consensus?: Partial<ConsensusOptions>;
}

/** This process's part in one group. */
interface GroupMembership {
  group: ReplicatedGroup;
  voterSet: VoterSetManager;
  loadLog: MemberLoadLog;
}

/** Time in which requests under way are answered before the process ends, in milliseconds. */
const MAX_ANSWER_MS = 300;
const SEGMENT_BYTES = 8 * 1024 * 1024;

export class GroupMemberProcess {
  readonly router = new MethodRouter();
  readonly peers: PeerDirectory;
  private readonly urgentPeers: PeerDirectory;
  private readonly memberships = new Map<string, GroupMembership>();
  private readonly balancer: LeaderBalancer;
  private readonly meter = new ProcessLoadMeter();
  private readonly loadLog: ProcessLoadLog;
  private readonly stopping = new AbortController();
  private host!: GroupHost;
  private rpcServer!: RpcServer;

  private constructor(
    private readonly options: GroupMemberOptions,
    readonly identity: IdentityStore,
    private readonly wal: WriteAheadLog,
  ) {
    const { settings } = options;
    const peerOptions = {
      ownName: settings.name,
      secret: settings.secret,
      router: this.router,
      resolveAddress: (address: string) => address,
    };
    this.loadLog = new ProcessLoadLog(options.logger);
    this.peers = new PeerDirectory(peerOptions);
    this.urgentPeers = new PeerDirectory(peerOptions);
    this.balancer = new LeaderBalancer({
      groups: () =>
        [...this.memberships.values()].map(({ group, voterSet }) => ({
          group,
          canLead: (voter) => voterSet.canLead(voter),
        })),
      logger: options.logger,
    });
  }

  static async open(options: GroupMemberOptions): Promise<GroupMemberProcess> {
    const { settings, logger, onFatal } = options;
    const folder = settings.dataFolder!;
    const { controlSeeds, isFirstStart } = settings;
    const firstSeeds = isFirstStart ? controlSeeds : undefined;
    const identity = await IdentityStore.open(folder, settings.name, firstSeeds);
    const wal = await WriteAheadLog.open({
      folder: join(folder, 'log'),
      segmentBytes: SEGMENT_BYTES,
      quotaBytes: options.logQuotaBytes,
      onFatal,
      onFullChange: (isFull) => logDiskFull(logger, isFull),
    });
    const process = new GroupMemberProcess(options, identity, wal);
    process.createHost();
    return process;
  }

  createMetrics(): Registry {
    const registry = createMemberMetrics({ groups: () => this.groups, wal: this.wal });
    addGauge(
      registry,
      'ledgegauge_wire_failed_handshakes',
      'Connections of the internal protocol that were closed without being authenticated',
      () => this.rpcServer.failedHandshakes,
    );
    return registry;
  }

  /** The groups that this process has joined. */
  get groups(): ReplicatedGroup[] {
    return [...this.memberships.values()].map(({ group }) => group);
  }

  find(name: string): ReplicatedGroup | undefined {
    return this.memberships.get(name)?.group;
  }

  /** Whether this process leads the group, and knows that the group works without a machine. */
  isSafeToRemove(groupName: string, machine: string): boolean {
    return this.memberships.get(groupName)?.voterSet.isSafeToRemove(machine) ?? false;
  }

  get signal(): AbortSignal {
    return this.stopping.signal;
  }

  get ownMember(): Member {
    const { name, internalAddress: address } = this.options.settings;
    return { id: this.identity.identity.memberId, name, address, role: 'learner' };
  }

  async listen(): Promise<void> {
    const { internalAddress, listenAddress = internalAddress, secret } = this.options.settings;
    this.host.registerHandlers(this.router);
    this.router.handle(
      REQUEST_ADMISSION,
      (request) =>
        this.memberships.get(request.group)?.voterSet.requestAdmission(request) ?? { leads: false },
    );
    this.rpcServer = await RpcServer.start({
      host: hostOf(listenAddress),
      port: portOf(listenAddress),
      secret,
      router: this.router,
      onDisconnect: (peerName) => this.host.notePeerDisconnected(peerName),
    });
  }

  /** Writes the first entry of a group, which must be identical on every founder. */
  bootstrap(groupName: string, configuration: GroupConfiguration): Promise<void> {
    return this.host.bootstrapGroup(groupName, configuration);
  }

  /** Opens groups from local storage and takes part in them. */
  async joinGroups(joined: readonly JoinedGroup[]): Promise<void> {
    for (const one of joined) await this.openGroup(one);
    this.host.start();
    const { ownMember: member, signal } = this;
    for (const { name, client } of joined)
      void runAdmissionTask({ group: this.find(name)!, member, client, signal });
  }

  private async openGroup({ name, stateMachine, consensus }: JoinedGroup): Promise<void> {
    const { settings, isRetiring, logger } = this.options;
    const group = await this.host.openGroup(name, stateMachine, consensus);
    this.requireLog(group);
    const targetVoters = voterCountFor(settings.toleratedLosses);
    const voterSet = new VoterSetManager(group, { targetVoters, isRetiring, logger });
    const loadLog = new MemberLoadLog({ group, wal: this.wal, meter: this.meter, logger });
    this.memberships.set(name, { group, voterSet, loadLog });
  }

  /** Transfers leadership, answers the requests under way, and closes everything. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.balancer.stop();
    this.meter.stop();
    this.loadLog.stop();
    for (const { voterSet, loadLog } of this.memberships.values()) {
      voterSet.stop();
      loadLog.stop();
    }
    await this.host.stop();
    // Followers notice at once that this member is gone, also if no other has taken the leadership.
    this.peers.close();
    this.urgentPeers.close();
    await this.answerRequests();
    await this.wal.close();
  }

  private async answerRequests(): Promise<void> {
    const startedAt = monotonicMs();
    const underWay = this.rpcServer.runningRequests;
    const unanswered = await this.rpcServer.drain(MAX_ANSWER_MS);
    const ms = Math.round(monotonicMs() - startedAt);
    this.options.logger.info('requests answered', { ms, underWay, unanswered });
  }

  private createHost(): void {
    const { settings, consensus, logger, onFatal } = this.options;
    this.host = new GroupHost({
      ownId: this.identity.identity.memberId,
      wal: this.wal,
      snapshots: new SnapshotStore(join(settings.dataFolder!, 'snapshots')),
      peers: this.peers,
      urgentPeers: this.urgentPeers,
      options: checkConsensusOptions(consensus),
      logger,
      onFatal,
      onLeadershipChange: this.options.onLeadershipChange,
    });
  }

  /** A member must not vote after losing its log, because its vote and acknowledged entries are unknown. */
  private requireLog(group: ReplicatedGroup): void {
    const { state, foundedGroups } = this.identity.identity;
    const mustHoldLog = foundedGroups ? foundedGroups.includes(group.name) : state === 'member';
    if (!mustHoldLog || group.log.lastIndex > 0) return;
    throw new DamagedLogError(
      'data folder has an identity but no log; restart with an empty data folder',
      { step: 'nodes.enter', peer: group.name },
    );
  }
}

function logDiskFull(logger: Logger, isFull: boolean): void {
  if (isFull)
    logger.warn('disk full', { effect: 'new entries are rejected, writes wait for free space' });
  else logger.info('disk has room again', {});
}
