/**
 * One member of a replicated group (Raft, after Ongaro and Ousterhout 2014, with pre-vote, check
 * quorum, learners, single-server membership change and leadership transfer).
 *
 * Tasks run side by side: one for each follower while leading (replicator.ts), one for an election
 * (election.ts), one that applies what is committed (applier.ts), and the host's clock tick.
 */
import { SignalEvent, monotonicMs } from '../common/index.js';
import { DiskFullError, type LogEntry, StorageFullError } from '../log-store/index.js';
import type { CallOptions, Method } from '../wire/index.js';
import { Applier, type StoredSnapshotMarks } from './applier.js';
import { createCommitTimings } from './commit-timings.js';
import {
  type GroupConfiguration,
  type Member,
  encodeConfiguration,
  findMember,
  isVoter,
  quorumValue,
  startupRank,
  withMember,
  withoutMember,
} from './configuration.js';
import { runElection } from './election.js';
import { ElectionTimer } from './election-timer.js';
import { MembershipChangeError, NotLeaderError } from './errors.js';
import { FollowerRequestHandler } from './follower-request-handler.js';
import { LearnerRelays, relayOf } from './learner-relays.js';
import { transferLeadership } from './leadership-transfer.js';
import type { MemberLog } from './member-log.js';
import type { Heartbeat, HeartbeatResponse } from './messages.js';
import type { CheckedConsensusOptions } from './options.js';
import { PendingProposals } from './pending-proposals.js';
import { type Proposal, ProposalLimiter } from './proposal-limiter.js';
import { QuorumCheck } from './quorum-check.js';
import { createReplicationTraffic } from './replication-traffic.js';
import { Replicator } from './replicator.js';
import type { StateMachine } from './state-machine.js';

/** A command is to be committed within so many heartbeat intervals. */
const COMMIT_TARGET_HEARTBEATS = 2;

export type MemberState = 'follower' | 'candidate' | 'leader';

/** What a group needs of the process around it. */
export interface GroupEnvironment {
  ownId: string;
  options: CheckedConsensusOptions;
  call<Request, Response>(
    member: Member,
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response>;
  /** Asks for heartbeats to go out soon, for a read that waits for a quorum. */
  requestHeartbeats(): void;
  /** Called when this member starts or stops leading. */
  onLeadershipChange(group: ReplicatedGroup): void;
  /** Called when there was no room for a snapshot; it is tried again later. */
  onSnapshotSkipped(group: ReplicatedGroup, error: StorageFullError): void;
  /** A snapshot is durable, and the log has let go what stood up to an index. */
  onSnapshotStored(group: ReplicatedGroup, snapshot: StoredSnapshotMarks): void;
  /** Called at most once a second while a leader refuses commands for their number. */
  onProposalsRefused(group: ReplicatedGroup, count: number): void;
  onFatal(error: unknown): void;
}

export class ReplicatedGroup {
  readonly name: string;
  state: MemberState = 'follower';
  leaderId: string | undefined;
  commitIndex: number;
  readonly applier: Applier;
  /** Monotonic time since when this member has led, in milliseconds. */
  leadingSince = 0;
  readonly traffic = createReplicationTraffic();
  readonly times = createCommitTimings();
  readonly sendsSnapshots = true;
  private readonly handler: FollowerRequestHandler;
  private readonly replicators = new Map<string, Replicator>();
  private readonly proposals: PendingProposals;
  private readonly proposalLimiter: ProposalLimiter;
  private readonly relays = new LearnerRelays(this);
  private readonly quorumCheck: QuorumCheck;
  private readonly quorumContact = new SignalEvent();
  /** While leading: the last index that is synced on this member. */
  private syncedIndex = 0;
  private hardStateWritten: Promise<void> = Promise.resolve();
  private termStartIndex = 0;
  private readonly electionTimer = new ElectionTimer(() => this.onElectionDue());
  private isTransferring = false;
  private isStopped = false;

  constructor(
    readonly log: MemberLog,
    stateMachine: StateMachine,
    private readonly environment: GroupEnvironment,
  ) {
    this.name = log.group;
    this.proposals = new PendingProposals(log.group);
    const { heartbeatIntervalMs, maxProposalWaitMs } = environment.options;
    this.proposalLimiter = new ProposalLimiter({
      group: log.group,
      commitTargetMs: COMMIT_TARGET_HEARTBEATS * heartbeatIntervalMs,
      maxWaitMs: maxProposalWaitMs,
      append: (proposal) => this.appendCommand(proposal),
      times: this.times,
      onRefused: (count) => environment.onProposalsRefused(this, count),
    });
    this.commitIndex = log.latestSnapshot?.index ?? 0;
    this.applier = new Applier(this, stateMachine, environment);
    this.handler = new FollowerRequestHandler(this, environment);
    this.quorumCheck = new QuorumCheck(environment.options);
    this.setFirstElectionDeadline();
  }

  get ownId(): string {
    return this.environment.ownId;
  }

  get heartbeatIntervalMs(): number {
    return this.environment.options.heartbeatIntervalMs;
  }

  isVoter(memberId: string): boolean {
    return isVoter(this.configuration, memberId);
  }

  /** Whether another voter sends entries on to a learner. */
  isRelayed(memberId: string): boolean {
    return relayOf(this.configuration, this.ownId, memberId) !== undefined;
  }

  get isFollower(): boolean {
    return this.state === 'follower' && !this.isStopped;
  }

  get group(): string {
    return this.name;
  }

  get term(): number {
    return this.log.hardState.term;
  }

  get isLeader(): boolean {
    return this.state === 'leader';
  }

  /** Whether this member leads and has applied all that was committed before it did. */
  get isCurrentLeader(): boolean {
    return this.isLeader && this.applier.appliedIndex >= this.termStartIndex;
  }

  get configuration(): GroupConfiguration {
    return this.log.configuration;
  }

  /** Whether the latest configuration is committed, so that the next change may begin. */
  get isConfigurationSettled(): boolean {
    return (
      this.commitIndex >= this.termStartIndex && this.log.configurationIndex <= this.commitIndex
    );
  }

  get requestHandler(): FollowerRequestHandler {
    return this.handler;
  }

  /** Address of the member that leads, when known. */
  get leaderAddress(): string | undefined {
    return this.leader?.address;
  }

  /** Name of the member that leads, when known. */
  get leaderName(): string | undefined {
    return this.leader?.name;
  }

  /**
   * Replicates a command; resolves with its result once it is committed and applied.
   * @param attachments what goes to this member's disk with it; see `LogEntry.attachments`
   * @throws NotLeaderError when this member does not lead; the command was not taken
   * @throws StorageFullError when the log has no room; the command was not taken
   * @throws GroupOverloadedError when there are more commands than the group commits in time; this one
   *   was not taken
   * @throws CommitUnknownError when leadership ended first; the command may be committed
   */
  async propose(command: Uint8Array, attachments?: readonly Uint8Array[]): Promise<unknown> {
    if (!this.isLeader || this.isTransferring) throw this.notLeader();
    const isFull = this.log.heldBytes >= this.environment.options.maxHeldBytes;
    if (isFull) throw this.memoryLimitError();
    return this.proposalLimiter.submit({ command, attachments });
  }

  private appendCommand({ command: data, attachments }: Proposal): Promise<unknown> {
    try {
      return this.appendAsLeader({ kind: 'command', data, attachments });
    } catch (error) {
      if (error instanceof DiskFullError) this.giveUpLeadership();
      throw error;
    }
  }

  private memoryLimitError(): StorageFullError {
    const context = { step: 'consensus.propose', peer: this.name, retriable: true };
    return new StorageFullError('too many bytes of entries in memory', context);
  }

  /** A leader whose disk takes no entries lets another lead; a quota is used up everywhere alike. */
  private giveUpLeadership(): void {
    void this.transferLeadership().catch((error) => this.environment.onFatal(error));
  }

  /**
   * Resolves when this member was still the leader after the call began and has applied all that
   * was committed by then, so that a read of the state machine is linearizable.
   * @throws NotLeaderError when it does not lead, or stops leading meanwhile
   */
  async confirmLeadership(): Promise<void> {
    const calledAt = monotonicMs();
    while (this.isLeader && this.commitIndex < this.termStartIndex) await this.quorumContact.wait();
    const readIndex = this.commitIndex;
    this.environment.requestHeartbeats();
    while (this.isLeader && this.quorumContactMs() < calledAt) await this.quorumContact.wait();
    if (!this.isLeader) throw this.notLeader();
    await this.applier.waitApplied(readIndex);
  }

  /** Send time of the latest message that a majority has answered (monotonic, milliseconds). */
  quorumContactMs(): number {
    return quorumValue(this.configuration, (id) => this.contactMsOf(id));
  }

  /** Last index that a follower holds, for those that wait for it to catch up. */
  matchIndexOf(memberId: string): number {
    return this.replicators.get(memberId)?.matchIndex ?? 0;
  }

  /** When the latest message that a follower answered was sent (monotonic, milliseconds). */
  contactMsOf(memberId: string): number {
    if (memberId === this.ownId) return monotonicMs();
    return this.replicators.get(memberId)?.acknowledgedSentAt ?? Number.NEGATIVE_INFINITY;
  }

  /** Whether there are more commands than the group commits soon. */
  get isOverloaded(): boolean {
    return this.proposalLimiter.hasWaiting;
  }

  /** Commands refused so far as too many, and bytes of commands that may wait for their commit at a time. */
  get admission(): { refused: number; windowBytes: number } {
    return { refused: this.proposalLimiter.refused, windowBytes: this.proposalLimiter.windowBytes };
  }

  /** Adds a member or changes its role; one change at a time. */
  addMember(member: Member): Promise<unknown> {
    return this.changeConfiguration(withMember(this.configuration, member));
  }

  removeMember(id: string): Promise<unknown> {
    return this.changeConfiguration(withoutMember(this.configuration, id));
  }

  /** Hands leadership over; takes no commands meanwhile. Resolves with whether that went well. */
  async transferLeadership(): Promise<boolean> {
    if (!this.isLeader) return true;
    this.isTransferring = true;
    this.proposalLimiter.refuseAll(this.notLeader());
    try {
      return await transferLeadership(this, this.replicators);
    } finally {
      this.isTransferring = false;
    }
  }

  stop(): void {
    this.isStopped = true;
    this.electionTimer.stop();
    if (this.isLeader) this.becomeFollower(this.term, undefined);
    this.applier.stop();
    this.relays.stop();
  }

  /** Called by the host at every heartbeat interval: a leader without a quorum steps down. */
  tick(): void {
    this.relays.update();
    const contactMs = Math.max(this.quorumContactMs(), this.leadingSince);
    const isLost = this.quorumCheck.isQuorumLost(contactMs);
    if (isLost && this.isLeader && !this.isStopped) this.becomeFollower(this.term, undefined);
  }

  /** The leader's connection to this member has closed; the leader may be gone, or come back. */
  noteLeaderDisconnected(): void {
    if (this.isStopped || this.isLeader) return;
    this.handler.forgetLeader();
    const { disconnectTimeoutMs } = this.environment.options;
    this.electionTimer.bringForwardTo(disconnectTimeoutMs * (1 + Math.random()));
  }

  /** Starts an election; `isTransfer` when the leader asked for it. */
  startElection(isTransfer: boolean): void {
    void runElection(this, this.environment, isTransfer).catch((error) =>
      this.environment.onFatal(error),
    );
  }

  /** Puts the next election off. */
  resetElectionDeadline(): void {
    const { electionTimeoutMs } = this.environment.options;
    this.electionTimer.setIn(electionTimeoutMs * (1 + Math.random()));
  }

  private onElectionDue(): void {
    if (this.isStopped || this.isLeader) return;
    if (this.handler.hasSeenLeader) this.resetElectionDeadline();
    else this.setFirstElectionDeadline();
    if (isVoter(this.configuration, this.ownId)) this.startElection(false);
  }

  /**
   * The first elections are spread by whole time-outs, so that groups prefer different leaders. One
   * that failed is repeated soon: the others may not have been up yet.
   */
  private setFirstElectionDeadline(): void {
    const { startupElectionTimeoutMs } = this.environment.options;
    const timeouts = 1 + Math.random() + startupRank(this.configuration, this.ownId, this.name);
    this.electionTimer.setIn(startupElectionTimeoutMs * timeouts);
  }

  heartbeatFor(member: Member): Heartbeat | undefined {
    if (!this.replicators.has(member.id)) return undefined;
    const { name: group, ownId: from, term, commitIndex } = this;
    return { group, to: member.id, from, term, commitIndex };
  }

  takeHeartbeatResponse(memberId: string, response: HeartbeatResponse, sentAt: number): void {
    if (response.term > this.term) {
      this.onHigherTerm(response.term);
      return;
    }
    if (!this.isLeader || !response.accepted || response.term !== this.term) return;
    const replicator = this.replicators.get(memberId);
    replicator?.noteAcknowledged(sentAt);
    if (response.knowsMatch) replicator?.noteMatch(response.matchIndex);
    else replicator?.probeAgain();
    this.quorumContact.notify();
  }

  onHigherTerm(term: number): void {
    if (term > this.term) this.becomeFollower(term, undefined);
  }

  /** Follows `leaderId` in `term`; the new term is written before anything is answered in it. */
  becomeFollower(term: number, leaderId: string | undefined): void {
    const wasLeader = this.isLeader;
    this.state = 'follower';
    this.leaderId = leaderId;
    if (term > this.term) this.saveHardState(term, undefined);
    if (!wasLeader) return;
    for (const replicator of this.replicators.values()) replicator.stop();
    this.replicators.clear();
    this.quorumContact.notify();
    this.proposalLimiter.close(this.notLeader());
    this.proposals.abandonAll();
    this.resetElectionDeadline();
    this.environment.onLeadershipChange(this);
  }

  becomeCandidate(): Promise<void> {
    this.state = 'candidate';
    this.leaderId = undefined;
    return this.saveHardState(this.term + 1, this.ownId);
  }

  becomeLeader(): void {
    this.state = 'leader';
    this.leaderId = this.ownId;
    this.leadingSince = monotonicMs();
    // The vote for itself was synced after every entry before it.
    this.syncedIndex = this.log.lastIndex;
    this.termStartIndex = this.log.lastIndex + 1;
    this.updateReplicators();
    try {
      void this.appendAsLeader({ kind: 'empty', data: new Uint8Array(0) }).catch(() => undefined);
    } catch {
      // No room even for the first entry: another member has to lead.
      this.becomeFollower(this.term, undefined);
      return;
    }
    this.environment.onLeadershipChange(this);
  }

  /** Writes term and vote; resolves when synced. A failed write ends the process. */
  saveHardState(term: number, votedFor: string | undefined): Promise<void> {
    const written = this.log.saveHardState({ term, votedFor });
    written.catch((error) => this.environment.onFatal(error));
    this.hardStateWritten = written;
    return written;
  }

  /** Resolves when the current term is synced; no answer may be given in a term before that. */
  waitTermDurable(): Promise<void> {
    return this.hardStateWritten;
  }

  /** Raises the commit index; the applier goes on from there. */
  advanceCommit(index: number): void {
    if (index <= this.commitIndex) return;
    this.commitIndex = Math.min(index, this.log.lastIndex);
    this.applier.notify();
    this.relays.notify();
  }

  onFollowerProgress(): void {
    this.quorumContact.notify();
    if (!this.isLeader) return;
    const index = quorumValue(this.configuration, (id) =>
      id === this.ownId ? this.syncedIndex : this.matchIndexOf(id),
    );
    // Entries of earlier terms are committed only together with one of this term.
    if (index >= this.termStartIndex) this.advanceCommit(index);
  }

  /** Called by the applier for every entry, with the state machine's result. */
  onApplied(entry: LogEntry, result: unknown): void {
    this.proposals.settle(entry, result);
    if (entry.kind === 'configuration') this.stepDownIfRemoved(entry);
    this.quorumContact.notify();
  }

  call<Request, Response>(
    member: Member,
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response> {
    return this.environment.call(member, method, request, options);
  }

  notLeader(): NotLeaderError {
    return new NotLeaderError(this.name, this.isLeader ? undefined : this.leaderAddress);
  }

  private get leader(): Member | undefined {
    if (this.leaderId === undefined) return undefined;
    return findMember(this.configuration, this.leaderId);
  }

  private appendAsLeader(
    content: Pick<LogEntry, 'kind' | 'data' | 'attachments'>,
  ): Promise<unknown> {
    const entry: LogEntry = { index: this.log.lastIndex + 1, term: this.term, ...content };
    const appendedAt = monotonicMs();
    const written = this.log.append([entry]);
    this.applier.noteLogged([entry]);
    const committed = this.proposals.add(entry);
    for (const replicator of this.replicators.values()) replicator.notify();
    written.then(
      () => {
        this.times.ownSync.record(monotonicMs() - appendedAt);
        this.onOwnEntrySynced(entry);
      },
      (error) => this.environment.onFatal(error),
    );
    return committed;
  }

  private onOwnEntrySynced(entry: LogEntry): void {
    if (this.term !== entry.term || !this.isLeader) return;
    this.syncedIndex = Math.max(this.syncedIndex, entry.index);
    this.onFollowerProgress();
  }

  private changeConfiguration(configuration: GroupConfiguration): Promise<unknown> {
    if (!this.isLeader) return Promise.reject(this.notLeader());
    if (!this.isConfigurationSettled) {
      return Promise.reject(
        new MembershipChangeError('another change is under way', {
          step: 'consensus.change-members',
          peer: this.name,
          retriable: true,
        }),
      );
    }
    try {
      const data = encodeConfiguration(configuration);
      const committed = this.appendAsLeader({ kind: 'configuration', data });
      this.updateReplicators();
      return committed;
    } catch (error) {
      return Promise.reject(error);
    }
  }

  private updateReplicators(): void {
    for (const [id, replicator] of this.replicators) {
      if (findMember(this.configuration, id)) continue;
      replicator.stop();
      this.replicators.delete(id);
    }
    for (const member of this.configuration.members) {
      if (member.id === this.ownId) continue;
      const replicator = this.replicators.get(member.id);
      if (!replicator) this.replicators.set(member.id, new Replicator(this, member));
      else if (member.role === 'voter') replicator.notePromoted();
    }
  }

  private stepDownIfRemoved(entry: LogEntry): void {
    if (entry.index !== this.log.configurationIndex) return;
    if (this.isLeader && !isVoter(this.configuration, this.ownId)) {
      this.becomeFollower(this.term, undefined);
    }
  }
}
