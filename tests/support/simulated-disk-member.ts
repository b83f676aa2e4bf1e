/** A process of the ledger's groups with real stores on a simulated disk. */
import { join } from 'node:path';
import {
  REQUEST_ADMISSION,
  VoterSetManager,
  runAdmissionTask,
} from '../../src/clustering/index.js';
import {
  type CheckedConsensusOptions,
  GroupClient,
  GroupHost,
  type Member,
  type PeerCaller,
  type PeerNotifier,
  type ReplicatedGroup,
} from '../../src/consensus/index.js';
import { VOTE, type VoteRequest, type VoteResponse } from '../../src/consensus/messages.js';
import { IdentityStore } from '../../src/control/identity.js';
import {
  GroupValueStore,
  LEDGER_GROUP,
  LedgerService,
  LedgerStateMachine,
  READ_TURNS,
  registerLedgerHandlers,
} from '../../src/ledger/index.js';
import { DamagedLogError, SnapshotStore, WriteAheadLog } from '../../src/log-store/index.js';
import type { Logger } from '../../src/observability/index.js';
import { ValueStore, openStoreFolder } from '../../src/value-store/index.js';
import { LinkError, MethodRouter } from '../../src/wire/index.js';
import type { LoopbackNetwork } from './loopback-network.js';

const READ_LIMITS = { timeoutMs: 2_000 };
const TRY_TIMEOUT_MS = 200;
const TARGET_VOTERS = 3;
/** Small, so that segments are sealed and deleted frequently. */
const LOG_SEGMENT_BYTES = 6_000;
const VALUE_SEGMENT_BYTES = 4_000;
const CACHE_BYTES = 1_000;

/** Environment of a member process. */
export interface MemberEnvironment {
  name: string;
  /** Root path of the process on the disk. */
  root: string;
  network: LoopbackNetwork;
  /** Names of the ledger's groups, the first one first. */
  groups: readonly string[];
  /** Addresses of all members, which equal their names. */
  addresses: readonly string[];
  consensus: CheckedConsensusOptions;
  logger: Logger;
  /** Aborted when the process is killed. */
  killed: AbortSignal;
  onFatal: (error: unknown) => void;
  /** Called with each vote request, and again with its response. */
  onVote: (request: VoteRequest, response: VoteResponse | undefined) => void;
}

export class DiskMember {
  /** The groups that this process has joined, by name. */
  readonly joined = new Map<string, ReplicatedGroup>();

  private constructor(
    private readonly environment: MemberEnvironment,
    private readonly identity: IdentityStore,
    private readonly wal: WriteAheadLog,
    readonly values: ValueStore,
    private readonly stateMachines: ReadonlyMap<string, LedgerStateMachine>,
    private readonly peers: PeerCaller,
  ) {}

  /** Opens the stores, like a journal process before it joins its group. */
  static async open(environment: MemberEnvironment): Promise<DiskMember> {
    const { name, root, logger, onFatal } = environment;
    const folder = join(root, 'data');
    const values = await ValueStore.open({
      folder: await openStoreFolder(join(folder, 'turns')),
      logger,
      onFatal,
      segmentBytes: VALUE_SEGMENT_BYTES,
      cacheBytes: CACHE_BYTES,
    });
    const peers = peersUntilKilled(environment);
    const createStateMachine = (group: string): LedgerStateMachine =>
      new LedgerStateMachine({
        values: new GroupValueStore(values, group),
        readTurnsAt: (address, request) =>
          peers.call(address, READ_TURNS, { ...request, group }, READ_LIMITS),
        logger,
      });
    const stateMachines = new Map(
      environment.groups.map((group) => [group, createStateMachine(group)]),
    );
    const identity = await IdentityStore.open(folder, name);
    const wal = await WriteAheadLog.open({
      folder: join(folder, 'log'),
      segmentBytes: LOG_SEGMENT_BYTES,
      onFatal,
    });
    return new DiskMember(environment, identity, wal, values, stateMachines, peers);
  }

  /** The first group, once this process has joined all groups. */
  get group(): ReplicatedGroup | undefined {
    const hasJoinedAll = this.joined.size === this.stateMachines.size;
    return hasJoinedAll ? this.joined.get(LEDGER_GROUP) : undefined;
  }

  /** State of the first group. */
  get stateMachine(): LedgerStateMachine {
    return this.stateMachineOf(LEDGER_GROUP);
  }

  stateMachineOf(group: string): LedgerStateMachine {
    return this.stateMachines.get(group)!;
  }

  get member(): Member {
    const { name } = this.environment;
    return { id: this.identity.identity.memberId, name, address: name, role: 'learner' };
  }

  /** Joins the groups, or bootstraps them if the disk has no group state. */
  async joinGroup(founders: Member[]): Promise<void> {
    const host = this.createHost();
    await this.joinCluster(host, founders);
    const groups: ReplicatedGroup[] = [];
    for (const [name, stateMachine] of this.stateMachines) {
      const group = await host.openGroup(name, stateMachine);
      this.requireLog(group);
      groups.push(group);
    }
    for (const group of groups) this.joined.set(group.name, group);
    this.serve(host, groups);
  }

  private createHost(): GroupHost {
    const { root, consensus, logger, onFatal, killed } = this.environment;
    const host = new GroupHost({
      ownId: this.identity.identity.memberId,
      wal: this.wal,
      snapshots: new SnapshotStore(join(root, 'data', 'snapshots')),
      peers: this.peers,
      options: consensus,
      logger,
      onFatal,
      onLeadershipChange: () => undefined,
    });
    killed.addEventListener('abort', () => host.stopNow());
    return host;
  }

  private async joinCluster(host: GroupHost, founders: Member[]): Promise<void> {
    const { memberId, state } = this.identity.identity;
    const isFounder = founders.some(({ id }) => id === memberId);
    if (isFounder && state !== 'member') {
      for (const name of this.stateMachines.keys())
        await host.bootstrapGroup(name, { members: founders });
      await this.identity.save({ memberId, state: 'member', founders });
    }
    if (!isFounder && state === 'new') {
      await this.identity.save({ memberId, state: 'joining', founders });
    }
  }

  private requireLog(group: ReplicatedGroup): void {
    if (this.identity.identity.state !== 'member' || group.log.lastIndex > 0) return;
    const context = { step: 'nodes.enter', peer: group.name };
    throw new DamagedLogError('data folder has an identity but no log', context);
  }

  private serve(host: GroupHost, groups: readonly ReplicatedGroup[]): void {
    const { name, network, addresses, logger, killed: signal } = this.environment;
    if (signal.aborted) return;
    const router = new MethodRouter();
    host.registerHandlers(router);
    const services = new Map(groups.map((group) => [group.name, this.createService(group)]));
    registerLedgerHandlers(router, (name = LEDGER_GROUP) => services.get(name));
    const voterSets = new Map(
      groups.map((group) => [
        group.name,
        new VoterSetManager(group, {
          targetVoters: TARGET_VOTERS,
          isRetiring: () => false,
          logger,
        }),
      ]),
    );
    router.handle(REQUEST_ADMISSION, (request) =>
      voterSets.get(request.group)!.requestAdmission(request),
    );
    signal.addEventListener('abort', () => {
      for (const voterSet of voterSets.values()) voterSet.stop();
    });
    network.listen(name, router);
    host.start();
    const client = new GroupClient({
      peers: this.peers,
      addresses: [...addresses],
      tryTimeoutMs: TRY_TIMEOUT_MS,
    });
    for (const group of groups)
      void runAdmissionTask({ group, member: this.member, client, signal });
  }

  private createService(group: ReplicatedGroup): LedgerService {
    return new LedgerService({
      groupName: group.name,
      peers: notifierOf(this.peers),
      stateMachine: this.stateMachineOf(group.name),
      findGroup: () => group,
      isUnderMemoryPressure: () => false,
    });
  }
}

/** Rejects calls of a killed process. */
function peersUntilKilled({ name, network, killed, onVote }: MemberEnvironment): PeerCaller {
  const peers = network.peersOf(name);
  return {
    isConnected: (address) => peers.isConnected(address),
    call: async (address, method, request, options) => {
      if (killed.aborted) throw new LinkError('killed', { step: method.name, peer: address });
      const isVote = method.name === VOTE.name;
      if (isVote) onVote(request as VoteRequest, undefined);
      const response = await peers.call(address, method, request, options);
      if (isVote) onVote(request as VoteRequest, response as VoteResponse);
      return response;
    },
  };
}

function notifierOf(peers: PeerCaller): PeerNotifier {
  return {
    notify: (address, method, request) => {
      // Delivery of notices is not confirmed.
      void peers.call(address, method, request, READ_LIMITS).catch(() => undefined);
    },
  };
}
