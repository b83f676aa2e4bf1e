/**
 * Members of the ledger's groups, each on its own simulated disk. They can be killed, lose power or their disk, and
 * restart at any time.
 */
import { describeError, monotonicMs } from '../../src/common/index.js';
import {
  type CheckedConsensusOptions,
  GroupClient,
  type Member,
  type ReplicatedGroup,
} from '../../src/consensus/index.js';
import type { VoteRequest, VoteResponse } from '../../src/consensus/messages.js';
import { LEDGER_GROUP, ledgerGroupName } from '../../src/ledger/index.js';
import type { Logger } from '../../src/observability/index.js';
import { LoopbackNetwork } from './loopback-network.js';
import { type NameDurability, SimulatedDisk } from './simulated-disk.js';
import { DiskMember } from './simulated-disk-member.js';

const MEMBER_NAMES = ['member-1', 'member-2', 'member-3'];
const TRY_TIMEOUT_MS = 200;

export interface DiskClusterOptions {
  /** Distinguishes the disks of concurrent clusters. */
  name: string;
  seed: number;
  /** Number of ledger groups, which have the same members. @default 1 */
  groups?: number;
  consensus: CheckedConsensusOptions;
  /** Maximum duration of a sync, in milliseconds. */
  maxSyncMs: number;
  nameDurability?: NameDurability;
}

/** A member that has joined its groups. */
export interface ServingMember {
  process: DiskMember;
  /** The first group. */
  group: ReplicatedGroup;
}

export class DiskCluster {
  readonly network = new LoopbackNetwork();
  /** Names of the ledger's groups. */
  readonly groups: readonly string[];
  /** One disk for each member. */
  readonly disks: readonly SimulatedDisk[];
  /** Violations: failed starts, unexpected exits and conflicting votes. */
  readonly faults: string[] = [];
  /** Log lines of members and injected faults, in order. */
  readonly lines: string[] = [];
  private readonly processes: (DiskMember | undefined)[] = [];
  private readonly votes = new Map<string, string>();
  private readonly startedAt = monotonicMs();
  private founders: Member[] = [];

  constructor(private readonly options: DiskClusterOptions) {
    const { name, seed, nameDurability, maxSyncMs, groups = 1 } = options;
    this.groups = Array.from({ length: groups }, (_, index) => ledgerGroupName(index));
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

  /** The leader of the first group. */
  get leader(): ServingMember | undefined {
    return this.leaderOf(LEDGER_GROUP);
  }

  leaderOf(name: string): ServingMember | undefined {
    return this.serving
      .map(({ process }) => ({ process, group: process.joined.get(name)! }))
      .find(({ group }) => group.isCurrentLeader);
  }

  /** Whether all members of all groups are voters and serving. */
  get isComplete(): boolean {
    return this.groups.every((name) => this.isGroupComplete(name));
  }

  private isGroupComplete(name: string): boolean {
    const { group } = this.leaderOf(name) ?? {};
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

  /** Starts all members for the first time; together they bootstrap the group. */
  async bootstrap(): Promise<void> {
    const opened = await Promise.all(this.disks.map((_, index) => this.openProcess(index)));
    this.founders = opened.map(({ member }) => ({ ...member, role: 'voter' }));
    await Promise.all(opened.map((process) => process.joinGroup(this.founders)));
  }

  /** Starts a member from its disk; being killed during the start is no violation. */
  async start(index: number): Promise<void> {
    const disk = this.disks[index]!;
    const killing = new AbortController();
    this.record(`${disk.name} starts`);
    try {
      const process = await this.openProcess(index, killing);
      await process.joinGroup(this.founders);
    } catch (error) {
      if (!killing.signal.aborted) this.recordFault(disk, 'did not start', error);
    }
  }

  /** Adds a line to the log of the cluster. */
  record(line: string): void {
    this.lines.push(`${Math.round(monotonicMs() - this.startedAt)} ${line}`);
  }

  /** Describes each serving member in one line, to diagnose a group without progress. */
  describeMembers(): string[] {
    const joined = this.serving.flatMap(({ process }) =>
      [...process.joined.values()].map((group) => ({ process, group })),
    );
    return joined.map(({ process, group }) => {
      const { name, state, term, commitIndex, log, applier } = group;
      const { lastIndex, compactedTo, latestSnapshot } = log;
      const { appliedIndex } = applier;
      const snapshotIndex = latestSnapshot?.index;
      const turns = process.stateMachineOf(name).turns.size;
      const values = process.values.size;
      const indexes = { lastIndex, commitIndex, appliedIndex, snapshotIndex, compactedTo };
      return `${group.ownId} ${name} ${JSON.stringify({ state, term, ...indexes, turns, values })}`;
    });
  }

  killAll(): void {
    for (const disk of this.disks) disk.kill();
  }

  /** @param killing aborted when the process is killed */
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
      groups: this.groups,
      addresses: MEMBER_NAMES,
      consensus: this.options.consensus,
      logger: this.createLogger(name),
      killed: killing.signal,
      onFatal: (error) => {
        if (!killing.signal.aborted) this.recordFault(disk, 'ended by itself', error);
      },
      onVote: (request, response) => this.checkVote(request, response),
    });
    if (!killing.signal.aborted) this.processes[index] = process;
    return process;
  }

  private recordFault(disk: SimulatedDisk, what: string, error: unknown): void {
    const fault = `${disk.name} ${what}: ${describeError(error)}`;
    this.record(fault);
    this.faults.push(fault);
    disk.kill();
  }

  /** Checks that each member votes for one candidate per term; a candidate votes for itself. */
  private checkVote(request: VoteRequest, response: VoteResponse | undefined): void {
    if (request.isPreVote) return;
    const voter = response ? request.to : request.from;
    if (response && !response.granted) return;
    const vote = `${voter} in term ${request.term} of ${request.group}`;
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
