/** Members of a replicated ledger over a stand-in network, for tests of what is read of kept turns. */
import {
  type ConsensusOptions,
  GroupClient,
  type Member,
  type PeerCaller,
} from '../../src/consensus/index.js';
import {
  HistoryReader,
  LedgerClient,
  LedgerService,
  LedgerStateMachine,
  READ_TURNS,
  type Settlement,
  ValueCopySender,
} from '../../src/ledger/index.js';
import { createLogger } from '../../src/observability/index.js';
import {
  type ConsensusCluster,
  ListMachine,
  type RunningMember,
  startCluster,
} from './consensus-cluster.js';
import { LoopbackNetwork } from './loopback-network.js';
import { MemoryValues } from './memory-values.js';
import type { MeteredLinks } from './metered-links.js';
import { waitUntil } from './wait-until.js';

const INPUT = Buffer.alloc(17_000, 'i');
const OUTPUT = Buffer.from('data: o\n');
const RETENTION_MS = 60_000;
/** How long one member may take to send values to another. */
const READ_LIMITS = { timeoutMs: 2_000 };

export interface LedgerClusterOptions {
  /** @default 3 */
  voters?: number;
  /** @default 0 */
  learners?: number;
  /** What messages have to pass. @default nothing */
  links?: MeteredLinks;
  consensus?: ConsensusOptions;
}

export const ledgerTestLogger = createLogger({ test: 'histories' });

/** Settling it keeps the turn `turn-1`. */
export const KEPT_TURN: Settlement = {
  program: 'p',
  attempt: 'turn-1',
  spentTokens: 1,
  keep: { input: INPUT, output: OUTPUT, retentionMs: RETENTION_MS },
};
/** What a turn after `turn-1` continues from. */
export const KEPT_HISTORY = Buffer.concat([INPUT, OUTPUT]);

/** Reserves a turn after `turn-1`, whose history it wants. */
export const NEXT_TURN = {
  program: 'p',
  attempt: 'turn-2',
  mostTokens: 10,
  previousTurn: KEPT_TURN.attempt,
  wantsHistory: true,
};

/** A ledger in place of the cluster's list. */
class LedgerMachine extends ListMachine {
  readonly values: MemoryValues;
  readonly state: LedgerStateMachine;

  constructor(peers: PeerCaller, values = new MemoryValues()) {
    const state = new LedgerStateMachine({
      values,
      readTurnsAt: (address, request) => peers.call(address, READ_TURNS, request, READ_LIMITS),
      logger: ledgerTestLogger,
    });
    super(state.external);
    this.state = state;
    this.values = values;
  }

  override apply(command: Uint8Array, index = 0): unknown {
    return this.state.apply(command, index);
  }

  override snapshot(): Iterable<Uint8Array> {
    return this.state.snapshot();
  }

  override restore(state: Uint8Array): void {
    this.state.restore(state);
  }
}

interface LedgerMember {
  running: RunningMember;
  machine: LedgerMachine;
  service: LedgerService;
}

export class LedgerCluster {
  private constructor(
    readonly cluster: ConsensusCluster,
    private readonly members: LedgerMember[],
  ) {}

  static async start({
    voters = 3,
    learners = 0,
    links,
    consensus,
  }: LedgerClusterOptions = {}): Promise<LedgerCluster> {
    const network = new LoopbackNetwork(undefined, links);
    const cluster = await startCluster({
      size: voters,
      network,
      consensus,
      createMachine: (member) => new LedgerMachine(network.peersOf(member.address)),
    });
    const { group } = await cluster.waitLeader();
    for (let number = 1; number <= learners; number += 1) {
      const name = `learner-${number}`;
      const member = { id: `${name}-first`, name, address: name, role: 'learner' as const };
      await cluster.start(member, false);
      await waitUntil('settled', () => group.isConfigurationSettled);
      await group.addMember(member);
    }
    const members = cluster.members.map((running) => serveLedger(running, network));
    return new LedgerCluster(cluster, members);
  }

  get addresses(): string[] {
    return this.cluster.members.map(({ member }) => member.address);
  }

  /** Reads histories as a gateway does. */
  createReader(name = 'gateway'): HistoryReader {
    const peers = this.cluster.network.peersOf(name);
    return new HistoryReader({ callWhenConnected: peers.call }, ledgerTestLogger);
  }

  /** The ledger as a gateway reaches it. */
  createClient(name: string): LedgerClient {
    const { network } = this.cluster;
    const peers = network.peersOf(name);
    const groups = new GroupClient({ peers, addresses: this.addresses, tryTimeoutMs: 300 });
    const copies = new ValueCopySender(network.notifierOf(name));
    return new LedgerClient(groups, ledgerTestLogger, name, this.createReader(name), copies);
  }

  /** Starts all members that crashed; their stores have written nothing, their logs all. */
  async restartAll(): Promise<void> {
    for (const { running } of [...this.members]) await this.restartMember(running.member);
  }

  /** Starts one member that crashed. */
  async restartMember(member: Member): Promise<void> {
    const { cluster, members } = this;
    const place = members.findIndex(({ running }) => running.member.id === member.id);
    members[place] = serveLedger(await cluster.start(member, false), cluster.network);
  }

  /** Two followers lose their disks at the same time and come back as new members, each as a learner. */
  async replaceTwoFollowers(): Promise<string[]> {
    const { cluster } = this;
    await cluster.waitLeader();
    const followers = cluster.members.filter(
      ({ member, group: own }) => member.role === 'voter' && !own.isLeader,
    );
    const lost = await Promise.all(
      followers.slice(0, 2).map(({ member }) => cluster.crash(member.id)),
    );
    const renewed: string[] = [];
    for (const member of lost) renewed.push(await this.replace(member));
    return renewed;
  }

  /** A member that crashed loses its disk, and comes back as a new member, a learner. @returns its new id */
  async replace(lost: Member): Promise<string> {
    const { cluster } = this;
    const { group } = await cluster.waitLeader();
    await cluster.deleteDisk(lost);
    const renewed = { ...lost, id: `${lost.name}-second`, role: 'learner' as const };
    this.members.push(serveLedger(await cluster.start(renewed, false), cluster.network));
    await waitUntil('settled', () => group.isConfigurationSettled);
    await group.addMember(renewed);
    return renewed.id;
  }

  /** Whether a member holds the value of a turn. */
  hasValue(memberId: string, turn: string): boolean {
    const found = this.members.find(({ running }) => running.member.id === memberId);
    return found?.machine.values.has(turn) ?? false;
  }

  /** Bytes of histories that the leader has sent, or all others together. */
  sentBy(isLeader: boolean): number {
    return this.members
      .filter(({ running }) => running.group.isLeader === isLeader)
      .reduce((sum, { service }) => sum + service.sentBytes.histories, 0);
  }

  /** Followers know of the kept turn, but can't give it. */
  async deleteAtFollowers(): Promise<void> {
    await loseValue(this.members.filter(({ running }) => !running.group.isLeader));
  }

  /** All members know of the kept turn, and none can give it. */
  async deleteAtAll(): Promise<void> {
    await loseValue(this.members);
  }

  /** @returns the id of the only member that can still give the kept turn */
  async deleteAtAllButOneFollower(): Promise<string> {
    const holder = this.members.find(({ running }) => !running.group.isLeader)!;
    await waitUntil('kept', () => holder.machine.values.has(KEPT_TURN.attempt));
    await loseValue(this.members.filter((member) => member !== holder));
    return holder.running.member.id;
  }
}

async function loseValue(members: readonly LedgerMember[]): Promise<void> {
  for (const { machine } of members) {
    await waitUntil('kept', () => machine.state.turns.has(KEPT_TURN.attempt));
    machine.values.delete(KEPT_TURN.attempt);
  }
}

function serveLedger(running: RunningMember, network: LoopbackNetwork): LedgerMember {
  const machine = running.machine as LedgerMachine;
  const { state: stateMachine } = machine;
  const findGroup = () => running.group;
  const service = new LedgerService({
    peers: network.notifierOf(running.member.address),
    stateMachine,
    findGroup,
    isUnderMemoryPressure: () => false,
  });
  service.registerHandlers(running.router);
  return { running, machine, service };
}
