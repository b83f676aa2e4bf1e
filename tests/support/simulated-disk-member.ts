/** One process of the ledger's group with its real stores, on a simulated disk. */
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
const WISHED_VOTERS = 3;
/** So small that segments are sealed, and let go, all the time. */
const LOG_SEGMENT_BYTES = 6_000;
const VALUE_SEGMENT_BYTES = 4_000;
const CACHE_BYTES = 1_000;

/** What its machine gives to a process. */
export interface MemberEnvironment {
  name: string;
  /** Root path of the process on its machine's disk. */
  root: string;
  network: LoopbackNetwork;
  /** Addresses of all members; a member's name is its address. */
  addresses: readonly string[];
  consensus: CheckedConsensusOptions;
  logger: Logger;
  /** Aborted when the process is killed. */
  killed: AbortSignal;
  onFatal: (error: unknown) => void;
  /** A vote that was asked for, and what came of it. */
  onVote: (request: VoteRequest, response: VoteResponse | undefined) => void;
}

export class DiskMember {
  group: ReplicatedGroup | undefined;

  private constructor(
    private readonly surroundings: MemberEnvironment,
    private readonly identity: IdentityStore,
    private readonly wal: WriteAheadLog,
    readonly values: ValueStore,
    readonly stateMachine: LedgerStateMachine,
    private readonly peers: PeerCaller,
  ) {}

  /** Opens the stores, as a journal process does before it takes part. */
  static async open(surroundings: MemberEnvironment): Promise<DiskMember> {
    const { name, root, logger, onFatal } = surroundings;
    const folder = join(root, 'data');
    const values = await ValueStore.open({
      folder: await openStoreFolder(join(folder, 'turns')),
      logger,
      onFatal,
      segmentBytes: VALUE_SEGMENT_BYTES,
      cacheBytes: CACHE_BYTES,
    });
    const peers = peersWhileAlive(surroundings);
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
    return new DiskMember(surroundings, identity, wal, values, stateMachine, peers);
  }

  get member(): Member {
    const { name } = this.surroundings;
    return { id: this.identity.identity.memberId, name, address: name, role: 'learner' };
  }

  /** Takes part in the group; founds it with the others where the disk knows of none. */
  async joinGroup(founders: Member[]): Promise<void> {
    const host = this.createHost();
    await this.joinCluster(host, founders);
    const group = await host.openGroup(LEDGER_GROUP, this.stateMachine);
    this.requireLog(group);
    this.group = group;
    this.serve(host, group);
  }

  private createHost(): GroupHost {
    const { root, consensus, logger, onFatal, killed } = this.surroundings;
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
    throw new DamagedLogError('the log is gone but the identity is not', context);
  }

  private serve(host: GroupHost, group: ReplicatedGroup): void {
    const { name, network, addresses, logger, killed: signal } = this.surroundings;
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
    const keeper = new VoterSetManager(group, { targetVoters: WISHED_VOTERS, isRetiring, logger });
    keeper.registerHandler(router);
    signal.addEventListener('abort', () => keeper.stop());
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

/** What a killed process still has in memory goes nowhere. */
function peersWhileAlive({ name, network, killed, onVote }: MemberEnvironment): PeerCaller {
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
      // Nobody is told whether a notice arrived.
      void peers.call(address, method, request, READ_LIMITS).catch(() => undefined);
    },
  };
}
