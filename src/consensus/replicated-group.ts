/**
 * One member of a replicated group (Raft, after Ongaro and Ousterhout 2014, with pre-vote, check
 * quorum, learners, single-server membership change and leadership transfer).
 *
 * Concurrent tasks: one per follower while leading (replicator.ts), elections (election.ts),
 * application of committed entries (applier.ts), and the periodic tick of the host.
 */
import { SignalEvent, monotonicMs } from '../common/index.js';
import { DiskFullError, type LogEntry, StorageFullError } from '../log-store/index.js';
import type { CallOptions, Method } from '../wire/index.js';
import { Applier } from './applier.js';
import { CommandDelay } from './command-delay.js';
import { createCommitTimings } from './commit-timings.js';
import {
  type GroupConfiguration,
  type Member,
  encodeConfiguration,
  findMember,
  isVoter,
  quorumValue,
  withMember,
  withoutMember,
} from './configuration.js';
import { ElectionScheduler } from './election-scheduler.js';
import { MembershipChangeError, NotLeaderError } from './errors.js';
import { FollowerRequestHandler } from './follower-request-handler.js';
import type { GroupEnvironment } from './group-environment.js';
import { LearnerRelays, relayOf } from './learner-relays.js';
import { transferLeadership } from './leadership-transfer.js';
import type { MemberLog } from './member-log.js';
import type { Heartbeat, HeartbeatResponse } from './messages.js';
import { PendingProposals } from './pending-proposals.js';
import { type Proposal, ProposalLimiter } from './proposal-limiter.js';
import { QuorumCheck } from './quorum-check.js';
import { createReplicationTraffic } from './replication-traffic.js';
import { Replicator } from './replicator.js';
import type { StateMachine } from './state-machine.js';

/** Target commit latency, in heartbeat intervals. */
const COMMIT_TARGET_HEARTBEATS = 2;

export type MemberState = 'follower' | 'candidate' | 'leader';

export class ReplicatedGroup {
  readonly name: string;
  state: MemberState = 'follower';
  leaderId: string | undefined;
  commitIndex: number;
  readonly applier: Applier;
  /** Time when this member became leader (monotonic, milliseconds). */
  leadingSince = 0;
  readonly traffic = createReplicationTraffic();
  readonly times = createCommitTimings();
  /** Delay of this member's commands while it leads. */
  readonly commandDelay: CommandDelay;
  readonly elections: ElectionScheduler;
  readonly sendsSnapshots = true;
  private readonly handler: FollowerRequestHandler;
  private readonly replicators = new Map<string, Replicator>();
  private readonly proposals: PendingProposals;
  private readonly proposalLimiter: ProposalLimiter;
  private readonly relays = new LearnerRelays(this);
  private readonly quorumCheck: QuorumCheck;
  private readonly quorumContact = new SignalEvent();
  /** On a leader, the last index synced locally. */
  private syncedIndex = 0;
  private hardStateWritten: Promise<void> = Promise.resolve();
  private isProgressDue = false;
  private termStartIndex = 0;
  private isTransferring = false;
  private hasStopped = false;

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
    // A round trip is much shorter than a heartbeat interval where a leader can be elected.
    this.commandDelay = new CommandDelay(heartbeatIntervalMs);
    this.commitIndex = log.latestSnapshot?.index ?? 0;
    this.applier = new Applier(this, stateMachine, environment);
    this.handler = new FollowerRequestHandler(this, environment);
    this.elections = new ElectionScheduler(this, environment);
    this.quorumCheck = new QuorumCheck(environment.options, this.elections.pacing);
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

  /** Whether another voter relays entries to a learner. */
  isRelayed(memberId: string): boolean {
    return relayOf(this.configuration, this.ownId, memberId) !== undefined;
  }

  get isFollower(): boolean {
    return this.state === 'follower' && !this.hasStopped;
  }

  get isStopped(): boolean {
    return this.hasStopped;
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

  /** Whether this member leads and has applied all entries committed before its term. */
  get isCurrentLeader(): boolean {
    return this.isLeader && this.applier.appliedIndex >= this.termStartIndex;
  }

  get configuration(): GroupConfiguration {
    return this.log.configuration;
  }

  /** Whether the latest configuration is committed, which allows the next change. */
  get isConfigurationSettled(): boolean {
    return (
      this.commitIndex >= this.termStartIndex && this.log.configurationIndex <= this.commitIndex
    );
  }

  get requestHandler(): FollowerRequestHandler {
    return this.handler;
  }

  /** Address of the current leader, if known. */
  get leaderAddress(): string | undefined {
    return this.leader?.address;
  }

  /** Name of the current leader, if known. */
  get leaderName(): string | undefined {
    return this.leader?.name;
  }

  /**
   * Replicates a command. Resolves with its result once it is committed and applied.
   * @param attachments data written to the local disk with the command; see `LogEntry.attachments`
   * @throws NotLeaderError if this member is not the leader; the command was not accepted
   * @throws StorageFullError if the log has no space; the command was not accepted
   * @throws GroupOverloadedError if there are more commands than the group commits in time; the
   *   command was not accepted
   * @throws CommitUnknownError if leadership ends first; the command may be committed
   */
  async propose(command: Uint8Array, attachments?: readonly Uint8Array[]): Promise<unknown> {
    if (!this.isLeader || this.isTransferring) throw this.notLeader();
    const isFull = this.log.processHeldBytes >= this.environment.options.maxHeldBytes;
    if (isFull) throw this.memoryLimitError();
    const proposedAt = monotonicMs();
    const result = await this.proposalLimiter.submit({ command, attachments });
    this.commandDelay.note(monotonicMs() - proposedAt);
    return result;
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
    return new StorageFullError('uncompacted log entries exceed the memory limit', context);
  }

  /**
   * A leader with a full disk transfers leadership. This does not help for a quota, which is
   * equally used on all members.
   */
  private giveUpLeadership(): void {
    void this.transferLeadership().catch((error) => this.environment.onFatal(error));
  }

  /**
   * Resolves when this member has been confirmed as leader after the call began, and has applied
   * everything committed by then, which makes reads of the state machine linearizable.
   * @throws NotLeaderError if this member is not the leader, or loses leadership meanwhile
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

  /** Send time of the latest message acknowledged by a majority (monotonic, milliseconds). */
  quorumContactMs(): number {
    return quorumValue(this.configuration, (id) => this.contactMsOf(id));
  }

  /** Last index known to be stored on a follower. */
  matchIndexOf(memberId: string): number {
    return this.replicators.get(memberId)?.matchIndex ?? 0;
  }

  /** Send time of the latest message acknowledged by a follower (monotonic, milliseconds). */
  contactMsOf(memberId: string): number {
    if (memberId === this.ownId) return monotonicMs();
    return this.replicators.get(memberId)?.acknowledgedSentAt ?? Number.NEGATIVE_INFINITY;
  }

  /** Asks all members for a sign of life at once, learners as well. */
  requestContact(): void {
    this.environment.requestHeartbeats();
  }

  /** Whether commands are waiting to be appended. */
  get isOverloaded(): boolean {
    return this.proposalLimiter.hasWaiting;
  }

  /**
   * Number of commands rejected because of overload, and the limit for bytes of uncommitted
   * commands.
   */
  get admission(): { refused: number; windowBytes: number } {
    return { refused: this.proposalLimiter.refused, windowBytes: this.proposalLimiter.windowBytes };
  }

  /** Adds a member or changes its role. Only one membership change may be in progress. */
  addMember(member: Member): Promise<unknown> {
    return this.changeConfiguration(withMember(this.configuration, member));
  }

  removeMember(id: string): Promise<unknown> {
    return this.changeConfiguration(withoutMember(this.configuration, id));
  }

  /**
   * Transfers leadership; commands are rejected meanwhile. Resolves with whether it succeeded.
   * @param preferredId the voter that shall lead; undefined for the most up-to-date one
   */
  async transferLeadership(preferredId?: string): Promise<boolean> {
    if (!this.isLeader) return true;
    this.isTransferring = true;
    this.proposalLimiter.refuseAll(this.notLeader());
    try {
      return await transferLeadership(this, this.replicators, preferredId);
    } finally {
      this.isTransferring = false;
    }
  }

  stop(): void {
    this.hasStopped = true;
    this.elections.stop();
    if (this.isLeader) this.becomeFollower(this.term, undefined);
    this.applier.stop();
    this.relays.stop();
  }

  /** Called by the host at every heartbeat interval. A leader without a quorum steps down. */
  tick(): void {
    this.relays.update();
    const contactMs = Math.max(this.quorumContactMs(), this.leadingSince);
    const isLost = this.quorumCheck.isQuorumLost(contactMs);
    if (isLost && this.isLeader && !this.hasStopped) this.becomeFollower(this.term, undefined);
  }

  /**
   * Called when the leader's connection has closed. The leader may have failed, or may reconnect.
   */
  noteLeaderDisconnected(): void {
    if (this.hasStopped || this.isLeader) return;
    this.handler.forgetLeader();
    this.elections.noteLeaderDisconnected();
  }

  /**
   * @param isRequested whether a read waits for the response, so that a heartbeat is sent in any case
   * @returns undefined if the member gets none
   */
  heartbeatFor(member: Member, isRequested: boolean): Heartbeat | undefined {
    const replicator = this.replicators.get(member.id);
    if (!replicator || !(isRequested || replicator.isHeartbeatDue)) return undefined;
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
    this.noteAcknowledged(replicator, sentAt);
    if (response.knowsMatch) replicator?.noteMatch(response.matchIndex);
    else replicator?.probeAgain();
    this.quorumContact.notify();
  }

  /** Only the round trip to a quorum counts for timeouts, not that to a slow or starting member. */
  private noteAcknowledged(replicator: Replicator | undefined, sentAt: number): void {
    const before = this.quorumContactMs();
    replicator?.noteAcknowledged(sentAt);
    const after = this.quorumContactMs();
    if (after > before && Number.isFinite(before))
      this.elections.pacing.noteRoundTrip(monotonicMs() - after);
  }

  onHigherTerm(term: number): void {
    if (term > this.term) this.becomeFollower(term, undefined);
  }

  /** Becomes a follower of `leaderId` in `term`. The term is written before any response in it. */
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
    this.elections.postpone();
    this.environment.onLeadershipChange(this);
  }

  /**
   * Votes for itself in the next term and requests the others' votes.
   * @returns whether it was elected
   */
  async stand(requestVotes: () => Promise<boolean>): Promise<boolean> {
    const term = this.term + 1;
    const isCandidate = (): boolean => this.term === term && this.state === 'candidate';
    this.state = 'candidate';
    this.leaderId = undefined;
    await this.saveHardState(term, this.ownId);
    return isCandidate() && (await requestVotes()) && isCandidate();
  }

  becomeLeader(): void {
    this.state = 'leader';
    this.elections.pacing.noteLeader();
    this.leaderId = this.ownId;
    this.leadingSince = monotonicMs();
    // The vote for this member was synced after all earlier entries.
    this.syncedIndex = this.log.lastIndex;
    this.termStartIndex = this.log.lastIndex + 1;
    // The log of a leader contains all committed entries.
    this.advanceCommit(this.log.savedCommitIndex);
    this.updateReplicators();
    try {
      void this.appendAsLeader({ kind: 'empty', data: new Uint8Array(0) }).catch(() => undefined);
    } catch {
      // No space for the first entry of the term: another member must lead.
      this.becomeFollower(this.term, undefined);
      return;
    }
    this.environment.onLeadershipChange(this);
  }

  /** Writes term and vote. Resolves when synced; a failed write is fatal. */
  saveHardState(term: number, votedFor: string | undefined): Promise<void> {
    const written = this.log.saveHardState({ term, votedFor });
    written.catch((error) => this.environment.onFatal(error));
    this.hardStateWritten = written;
    return written;
  }

  /** Resolves when the current term is synced. No response may be sent in a term before that. */
  waitTermDurable(): Promise<void> {
    return this.hardStateWritten;
  }

  /** Raises the commit index and notifies the applier. */
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
    // Entries of earlier terms are committed only together with one of the current term.
    if (index >= this.termStartIndex) this.advanceCommit(index);
  }

  /** Called by the applier for every entry, with the result of the state machine. */
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
    this.noteProgressOnce();
  }

  /** Entries that were written together are reported one after the other, in one turn of the event loop. */
  private noteProgressOnce(): void {
    if (this.isProgressDue) return;
    this.isProgressDue = true;
    queueMicrotask(() => {
      this.isProgressDue = false;
      this.onFollowerProgress();
    });
  }

  private changeConfiguration(configuration: GroupConfiguration): Promise<unknown> {
    if (!this.isLeader) return Promise.reject(this.notLeader());
    if (!this.isConfigurationSettled) {
      return Promise.reject(
        new MembershipChangeError('another membership change is in progress', {
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
