/** Common base of control and journal processes: storage, internal RPC endpoint and one consensus group. */
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
import { runAdmissionTask, VoterSetManager } from '../clustering/index.js';
import { IdentityStore } from '../control/identity.js';
import { DamagedLogError, SnapshotStore, WriteAheadLog } from '../log-store/index.js';
import type { Logger } from '../observability/index.js';
import { MethodRouter, RpcServer } from '../wire/index.js';
import { MemberLoadLog } from './member-load-log.js';
import { createMemberMetrics } from './node-metrics.js';
import { type NodeSettings, hostOf, portOf, voterCountFor } from './node-settings.js';

export interface GroupMemberOptions {
  settings: NodeSettings;
  groupName: string;
  stateMachine: StateMachine;
  consensus: ConsensusOptions;
  /** Maximum size of the log's segments. @default no limit */
  logQuotaBytes: number | undefined;
  isRetiring: (name: string) => boolean;
  onLeadershipChange: (group: ReplicatedGroup) => void;
  logger: Logger;
  onFatal: (error: unknown) => void;
}

const SEGMENT_BYTES = 8 * 1024 * 1024;

export class GroupMemberProcess {
  readonly router = new MethodRouter();
  readonly peers: PeerDirectory;
  private readonly urgentPeers: PeerDirectory;
  group: ReplicatedGroup | undefined;
  keeper: VoterSetManager | undefined;
  private readonly stopping = new AbortController();
  private host!: GroupHost;
  private rpcServer!: RpcServer;
  private readonly loadLog: MemberLoadLog;

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
    this.peers = new PeerDirectory(peerOptions);
    this.urgentPeers = new PeerDirectory(peerOptions);
    const findGroup = (): ReplicatedGroup | undefined => this.group;
    this.loadLog = new MemberLoadLog({ findGroup, wal, logger: options.logger });
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
    return createMemberMetrics({ findGroup: () => this.group, wal: this.wal });
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
    this.rpcServer = await RpcServer.start({
      host: hostOf(listenAddress),
      port: portOf(listenAddress),
      secret,
      router: this.router,
      onDisconnect: (peerName) => this.host.notePeerDisconnected(peerName),
    });
  }

  /** Writes the first entry of the group, which must be identical on every founder. */
  bootstrap(configuration: GroupConfiguration): Promise<void> {
    return this.host.bootstrapGroup(this.options.groupName, configuration);
  }

  /** Opens the group from local storage and takes part in it. */
  async joinGroup(client: GroupClient): Promise<void> {
    const { groupName, stateMachine, settings, isRetiring, logger } = this.options;
    const group = await this.host.openGroup(groupName, stateMachine);
    this.requireLog(group);
    this.group = group;
    this.keeper = new VoterSetManager(group, {
      targetVoters: voterCountFor(settings.toleratedLosses),
      isRetiring,
      logger,
    });
    this.keeper.registerHandler(this.router);
    this.host.start();
    const { ownMember: member, signal } = this;
    void runAdmissionTask({ group, member, client, signal });
  }

  /** Transfers leadership and closes everything. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.keeper?.stop();
    this.loadLog.stop();
    await this.host.stop();
    this.rpcServer.close();
    this.peers.close();
    this.urgentPeers.close();
    await this.wal.close();
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
    if (this.identity.identity.state !== 'member' || group.log.lastIndex > 0) return;
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
