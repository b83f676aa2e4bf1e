/** A replicated ledger on an in-process network, for tests that read kept turns. */
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
  registerLedgerHandlers,
  READ_TURNS,
  type Settlement,
  type TurnValueStore,
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
import type { MeteredProcessors } from './metered-processors.js';
import { waitUntil } from './wait-until.js';

const INPUT = Buffer.alloc(17_000, 'i');
const OUTPUT = Buffer.from('data: o\n');
const RETENTION_MS = 60_000;
/** Options of a request for values to another member. */
const READ_LIMITS = { timeoutMs: 2_000 };

export interface LedgerClusterOptions {
  /** @default 3 */
  voters?: number;
  /** @default 0 */
  learners?: number;
  /** Links with limited bandwidth. @default unlimited */
  links?: MeteredLinks;
  /** Processors whose time messages and syncs take. @default unlimited */
  processors?: MeteredProcessors;
  /** One-way delay of each message, in milliseconds. @default 0 */
  delayMs?: number;
  consensus?: ConsensusOptions;
  /** @default a network of its own, with the delays, links and processors above */
  network?: LoopbackNetwork;
  /** Precedes the names and addresses of the members. @default '' */
  namePrefix?: string;
}

export const ledgerTestLogger = createLogger({ test: 'histories' });

/** Settlement that keeps the turn `turn-1`. */
export const KEPT_TURN: Settlement = {
  program: 'p',
  attempt: 'turn-1',
  spentTokens: 1,
  keep: { input: INPUT, output: OUTPUT, retentionMs: RETENTION_MS },
};
/** History of a turn that continues `turn-1`. */
export const KEPT_HISTORY = Buffer.concat([INPUT, OUTPUT]);

/** Reservation of a turn that continues `turn-1` and requests its history. */
export const NEXT_TURN = {
  program: 'p',
  attempt: 'turn-2',
  mostTokens: 10,
  previousTurn: KEPT_TURN.attempt,
  wantsHistory: true,
};

/** Ledger state machine in place of the cluster's list. */
export class LedgerMachine<Values extends TurnValueStore = MemoryValues> extends ListMachine {
  readonly state: LedgerStateMachine;

  constructor(
    peers: Pick<PeerCaller, 'call'>,
    readonly values: Values,
  ) {
    const state = new LedgerStateMachine({
      values,
      readTurnsAt: (address, request) => peers.call(address, READ_TURNS, request, READ_LIMITS),
      logger: ledgerTestLogger,
    });
    super(state.external);
    this.state = state;
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
    processors,
    delayMs = 0,
    consensus,
    network = new LoopbackNetwork(() => delayMs, links, processors),
    namePrefix,
  }: LedgerClusterOptions = {}): Promise<LedgerCluster> {
    const cluster = await startCluster({
      size: voters,
      network,
      namePrefix,
      consensus,
      createMachine: (member) =>
        new LedgerMachine(network.peersOf(member.address), new MemoryValues()),
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

  /** Creates a history reader like that of a gateway. */
  createReader(name = 'gateway'): HistoryReader {
    const peers = this.cluster.network.peersOf(name);
    return new HistoryReader({ callWhenConnected: peers.call }, ledgerTestLogger);
  }

  /** Creates a ledger client like that of a gateway. */
  createClient(name: string, groupName?: string): LedgerClient {
    const { network } = this.cluster;
    const peers = network.peersOf(name);
    const groups = new GroupClient({ peers, addresses: this.addresses, tryTimeoutMs: 300 });
    const copies = new ValueCopySender(network.notifierOf(name));
    const reader = this.createReader(name);
    return new LedgerClient(groups, ledgerTestLogger, name, reader, copies, undefined, groupName);
  }

  /** Restarts all crashed members with their logs and without stored values. */
  async restartAll(): Promise<void> {
    for (const { running } of [...this.members]) await this.restartMember(running.member);
  }

  /** Restarts a crashed member. */
  async restartMember(member: Member): Promise<void> {
    const { cluster, members } = this;
    const index = members.findIndex(({ running }) => running.member.id === member.id);
    members[index] = serveLedger(await cluster.start(member, false), cluster.network);
  }

  /** Crashes two followers at the same time and replaces them by learners with empty disks. @returns the new ids */
  async replaceTwoFollowers(): Promise<string[]> {
    const { cluster } = this;
    await cluster.waitLeader();
    const followers = cluster.members.filter(
      ({ member, group: own }) => member.role === 'voter' && !own.isLeader,
    );
    const lost = await Promise.all(
      followers.slice(0, 2).map(({ member }) => cluster.crash(member.id)),
    );
    const replacement: string[] = [];
    for (const member of lost) replacement.push(await this.replace(member));
    return replacement;
  }

  /** Replaces a crashed member by a learner with an empty disk. @returns the new id */
  async replace(lost: Member): Promise<string> {
    const { cluster } = this;
    const { group } = await cluster.waitLeader();
    await cluster.deleteDisk(lost);
    const replacement = { ...lost, id: `${lost.name}-second`, role: 'learner' as const };
    this.members.push(serveLedger(await cluster.start(replacement, false), cluster.network));
    await waitUntil('settled', () => group.isConfigurationSettled);
    await group.addMember(replacement);
    return replacement.id;
  }

  /** Sets the share of the room for values that is used up at each member. */
  setUsedShare(share: number): void {
    for (const { machine } of this.members) machine.values.usedShare = share;
  }

  /** The state of the leader. */
  get leaderState(): LedgerStateMachine {
    return this.members.find(({ running }) => running.group.isLeader)!.machine.state;
  }

  /** Whether a member stores the value of a turn. */
  hasValue(memberId: string, turn: string): boolean {
    const found = this.members.find(({ running }) => running.member.id === memberId);
    return found?.machine.values.has(turn) ?? false;
  }

  /** Bytes of histories sent by the leader, or by all other members. */
  sentBy(isLeader: boolean): number {
    return this.members
      .filter(({ running }) => running.group.isLeader === isLeader)
      .reduce((sum, { service }) => sum + service.sentBytes.histories, 0);
  }

  /** Deletes the value of the kept turn at all followers; their state still refers to it. */
  async deleteAtFollowers(): Promise<void> {
    await deleteValue(this.members.filter(({ running }) => !running.group.isLeader));
  }

  /** Deletes the value of the kept turn at all members; their state still refers to it. */
  async deleteAtAll(): Promise<void> {
    await deleteValue(this.members);
  }

  /** @returns the id of the only member that still stores the value of the kept turn */
  async deleteAtAllButOneFollower(): Promise<string> {
    const holder = this.members.find(({ running }) => !running.group.isLeader)!;
    await waitUntil('kept', () => holder.machine.values.has(KEPT_TURN.attempt));
    await deleteValue(this.members.filter((member) => member !== holder));
    return holder.running.member.id;
  }
}

async function deleteValue(members: readonly LedgerMember[]): Promise<void> {
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
  registerLedgerHandlers(running.router, () => service);
  return { running, machine, service };
}
