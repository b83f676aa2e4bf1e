/**
 * The members of the ledger's group, each on a simulated disk of its own: they can be killed, lose their power or
 * their disks, and come back, at any moment.
 */
import { describeError, monotonicMs } from '../../src/common/index.js';
import {
  type CheckedConsensusOptions,
  GroupClient,
  type Member,
  type ReplicatedGroup,
} from '../../src/consensus/index.js';
import type { VoteRequest, VoteResponse } from '../../src/consensus/messages.js';
import type { Logger } from '../../src/observability/index.js';
import { LoopbackNetwork } from './loopback-network.js';
import { type NameDurability, SimulatedDisk } from './simulated-disk.js';
import { DiskMember } from './simulated-disk-member.js';

const MEMBER_NAMES = ['member-1', 'member-2', 'member-3'];
const TRY_TIMEOUT_MS = 200;

export interface DiskClusterOptions {
  /** Tells the disks of clusters apart that run at the same time. */
  name: string;
  seed: number;
  consensus: CheckedConsensusOptions;
  /** Longest time that a sync takes, in milliseconds. */
  maxSyncMs: number;
  nameDurability?: NameDurability;
}

/** A member that takes part in its group. */
export interface ServingMember {
  process: DiskMember;
  group: ReplicatedGroup;
}

export class DiskCluster {
  readonly network = new LoopbackNetwork();
  /** One machine a member. */
  readonly disks: readonly SimulatedDisk[];
  /** What must never be seen: starts that failed, processes that ended by themselves, votes given twice. */
  readonly faults: string[] = [];
  /** What the members logged and what was done to them, in order. */
  readonly lines: string[] = [];
  private readonly processes: (DiskMember | undefined)[] = [];
  private readonly votes = new Map<string, string>();
  private readonly startedAt = monotonicMs();
  private founders: Member[] = [];

  constructor(private readonly options: DiskClusterOptions) {
    const { name, seed, nameDurability, maxSyncMs } = options;
    this.disks = MEMBER_NAMES.map((member, index) => {
      const diskSeed = seed * MEMBER_NAMES.length + index;
      return new SimulatedDisk(`${name}-${member}`, {
        seed: diskSeed,
        nameDurability,
        maxSyncMs,
      });
    });
  }

  get serving(): ServingMember[] {
    return this.processes.flatMap((process) =>
      process?.group ? [{ process, group: process.group }] : [],
    );
  }

  get leader(): ServingMember | undefined {
    return this.serving.find(({ group }) => group.isCurrentLeader);
  }

  /** Whether the group's members are all voters, and just those that serve. */
  get isComplete(): boolean {
    const { group } = this.leader ?? {};
    if (!group?.isConfigurationSettled) return false;
    const { members } = group.configuration;
    const servingIds = new Set(this.serving.map(({ group: { ownId } }) => ownId));
    const isServingVoter = ({ id, role }: Member): boolean =>
      role === 'voter' && servingIds.has(id);
    return members.length === MEMBER_NAMES.length && members.every(isServingVoter);
  }

  createClient(name: string): GroupClient {
    const peers = this.network.peersOf(name);
    return new GroupClient({ peers, addresses: [...MEMBER_NAMES], tryTimeoutMs: TRY_TIMEOUT_MS });
  }

  /** Starts all members for the first time; they found the group together. */
  async bootstrap(): Promise<void> {
    const opened = await Promise.all(this.disks.map((_, index) => this.openProcess(index)));
    this.founders = opened.map(({ member }) => ({ ...member, role: 'voter' }));
    await Promise.all(opened.map((process) => process.joinGroup(this.founders)));
  }

  /** Starts a member from what its disk holds; that it is killed meanwhile is no fault. */
  async start(index: number): Promise<void> {
    const disk = this.disks[index]!;
    const killing = new AbortController();
    this.record(`${disk.name} starts`);
    try {
      const process = await this.openProcess(index, killing);
      await process.joinGroup(this.founders);
    } catch (error) {
      if (!killing.signal.aborted) this.noteFault(disk, 'did not start', error);
    }
  }

  /** Notes what is done to the members beside what they log. */
  record(line: string): void {
    this.lines.push(`${Math.round(monotonicMs() - this.startedAt)} ${line}`);
  }

  /** One line a member that serves: what tells why a group makes no progress. */
  describeMembers(): string[] {
    return this.serving.map(({ process, group }) => {
      const { state, term, commitIndex, log, applier } = group;
      const { lastIndex, compactedTo, latestSnapshot } = log;
      const { appliedIndex } = applier;
      const snapshotIndex = latestSnapshot?.index;
      const turns = process.stateMachine.turns.size;
      const values = process.values.size;
      const indexes = { lastIndex, commitIndex, appliedIndex, snapshotIndex, compactedTo };
      return `${group.ownId} ${JSON.stringify({ state, term, ...indexes, turns, values })}`;
    });
  }

  killAll(): void {
    for (const disk of this.disks) disk.kill();
  }

  /** @param killing aborted in the moment in which the process is killed */
  private async openProcess(index: number, killing = new AbortController()): Promise<DiskMember> {
    const disk = this.disks[index]!;
    const name = MEMBER_NAMES[index]!;
    const { network } = this;
    const root = disk.startProcess(() => {
      this.record(`${disk.name} ends`);
      network.remove(name);
      this.processes[index] = undefined;
      killing.abort();
    });
    const process = await DiskMember.open({
      name,
      root,
      network,
      addresses: MEMBER_NAMES,
      consensus: this.options.consensus,
      logger: this.createLogger(name),
      killed: killing.signal,
      onFatal: (error) => {
        if (!killing.signal.aborted) this.noteFault(disk, 'ended by itself', error);
      },
      onVote: (request, response) => this.checkVote(request, response),
    });
    if (!killing.signal.aborted) this.processes[index] = process;
    return process;
  }

  private noteFault(disk: SimulatedDisk, what: string, error: unknown): void {
    const fault = `${disk.name} ${what}: ${describeError(error)}`;
    this.record(fault);
    this.faults.push(fault);
    disk.kill();
  }

  /** A member votes for one candidate a term; a candidate that asks has voted for itself. */
  private checkVote(request: VoteRequest, response: VoteResponse | undefined): void {
    if (request.isPreVote) return;
    const voter = response ? request.to : request.from;
    if (response && !response.granted) return;
    const vote = `${voter} in term ${request.term}`;
    const earlier = this.votes.get(vote) ?? request.from;
    if (earlier !== request.from) this.faults.push(`${vote} voted for ${earlier}, ${request.from}`);
    this.votes.set(vote, request.from);
  }

  private createLogger(member: string): Logger {
    const write = (message: string, fields = {}): void =>
      this.record(`${member} ${message} ${JSON.stringify(fields)}`);
    return { debug: write, info: write, warn: write, error: write };
  }
}
