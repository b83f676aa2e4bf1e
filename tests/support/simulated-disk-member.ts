/** A process of the ledger group with real stores on a simulated disk. */
import { join } from 'node:path';
import { VoterSetManager, runAdmissionTask } from '../../src/clustering/index.js';
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
  LEDGER_GROUP,
  LedgerService,
  LedgerStateMachine,
  READ_TURNS,
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
  group: ReplicatedGroup | undefined;

  private constructor(
    private readonly environment: MemberEnvironment,
    private readonly identity: IdentityStore,
    private readonly wal: WriteAheadLog,
    readonly values: ValueStore,
    readonly stateMachine: LedgerStateMachine,
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
    const stateMachine = new LedgerStateMachine({
      values,
      readTurnsAt: (address, request) => peers.call(address, READ_TURNS, request, READ_LIMITS),
      logger,
    });
    const identity = await IdentityStore.open(folder, name);
    const wal = await WriteAheadLog.open({
      folder: join(folder, 'log'),
      segmentBytes: LOG_SEGMENT_BYTES,
      onFatal,
    });
    return new DiskMember(environment, identity, wal, values, stateMachine, peers);
  }

  get member(): Member {
    const { name } = this.environment;
    return { id: this.identity.identity.memberId, name, address: name, role: 'learner' };
  }

  /** Joins the group, or bootstraps it if the disk has no group state. */
  async joinGroup(founders: Member[]): Promise<void> {
    const host = this.createHost();
    await this.joinCluster(host, founders);
    const group = await host.openGroup(LEDGER_GROUP, this.stateMachine);
    this.requireLog(group);
    this.group = group;
    this.serve(host, group);
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
      await host.bootstrapGroup(LEDGER_GROUP, { members: founders });
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

  private serve(host: GroupHost, group: ReplicatedGroup): void {
    const { name, network, addresses, logger, killed: signal } = this.environment;
    if (signal.aborted) return;
    const router = new MethodRouter();
    host.registerHandlers(router);
    const { stateMachine } = this;
    const service = new LedgerService({
      peers: notifierOf(this.peers),
      stateMachine,
      findGroup: () => group,
      isUnderMemoryPressure: () => false,
    });
    service.registerHandlers(router);
    const isRetiring = (): boolean => false;
    const voterSet = new VoterSetManager(group, {
      targetVoters: TARGET_VOTERS,
      isRetiring,
      logger,
    });
    voterSet.registerHandler(router);
    signal.addEventListener('abort', () => voterSet.stop());
    network.listen(name, router);
    host.start();
    const client = new GroupClient({
      peers: this.peers,
      addresses: [...addresses],
      tryTimeoutMs: TRY_TIMEOUT_MS,
    });
    void runAdmissionTask({ group, member: this.member, client, signal });
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
