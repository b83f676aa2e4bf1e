/** Handles the requests that candidates and leaders send to a member. */
import { monotonicMs } from '../common/index.js';
import { StorageFullError, type LogEntry } from '../log-store/index.js';
import { decodeConfiguration, isVoter } from './configuration.js';
import type {
  AppendRequest,
  AppendResponse,
  Heartbeat,
  HeartbeatResponse,
  SnapshotChunk,
  SnapshotResponse,
  TransferRequest,
  VoteRequest,
  VoteResponse,
} from './messages.js';
import type { GroupEnvironment } from './group-environment.js';
import type { ReplicatedGroup } from './replicated-group.js';

/**
 * A follower accepts more uncompacted bytes than a leader: entries before its own latest snapshot,
 * and all entries up to the first one of a new leader, without which nothing commits.
 */
const FOLLOWER_MEMORY_FACTOR = 3;

interface IncomingSnapshot {
  index: number;
  from: string;
  /** The complete state; the first `received` bytes have arrived. */
  state: Buffer;
  received: number;
}

export class FollowerRequestHandler {
  private leaderContactAt = Number.NEGATIVE_INFINITY;
  /** Last index at which the log is known to match that of the leader of `matchedTerm`. */
  private matchedIndex = 0;
  private matchedTerm = 0;
  private incoming: IncomingSnapshot | undefined;

  constructor(
    private readonly group: ReplicatedGroup,
    private readonly environment: GroupEnvironment,
  ) {}

  async vote(request: VoteRequest): Promise<VoteResponse> {
    const { group } = this;
    if (!request.isTransfer && this.hasRecentLeaderContact())
      return { term: group.term, granted: false };
    if (request.isPreVote) {
      const granted = request.term > group.term && this.isLogUpToDate(request);
      return { term: group.term, granted };
    }
    if (request.term > group.term) group.becomeFollower(request.term, undefined);
    const { votedFor } = group.log.hardState;
    const mayVote = votedFor === undefined || votedFor === request.from;
    const granted = request.term === group.term && mayVote && this.isLogUpToDate(request);
    const { term } = group;
    if (granted) {
      group.elections.postpone();
      void group.saveHardState(term, request.from);
    }
    await group.waitTermDurable();
    return { term, granted };
  }

  async append(request: AppendRequest): Promise<AppendResponse> {
    const { group } = this;
    if (request.term < group.term) return this.rejectAppend(0);
    this.followLeader(request.term, request.from);
    const entries = await group.applier.attachTo(request.entries);
    // A new leader may have been accepted while attachments were fetched.
    if (request.term < group.term) return this.rejectAppend(0);
    const { log } = group;
    const compacted = log.compactedTo.index;
    const knownTerm = log.termAt(request.previousIndex);
    if (request.previousIndex > compacted && knownTerm !== request.previousTerm) {
      return this.rejectAppend(this.lastPlausibleMatch(request));
    }
    const newEntries = entries.filter(
      (entry) => entry.index > compacted && log.termAt(entry.index) !== entry.term,
    );
    const { term } = group;
    const matched = request.previousIndex + request.entries.length;
    if (newEntries.length > 0) {
      const rejection = await this.appendEntries(newEntries);
      if (rejection) return rejection;
    }
    // Entries of a repeated request are already in the log, but may not be synced yet.
    await log.waitEntriesDurable();
    await group.waitTermDurable();
    if (group.term === term) this.noteMatched(term, matched, request.commitIndex);
    return { term, success: true, matchIndex: matched, isFull: false };
  }

  async heartbeat(heartbeat: Heartbeat): Promise<HeartbeatResponse> {
    const { group } = this;
    const name = group.name;
    if (heartbeat.term < group.term) {
      return { group: name, term: group.term, accepted: false, knowsMatch: false, matchIndex: 0 };
    }
    this.followLeader(heartbeat.term, heartbeat.from);
    const knowsMatch = this.matchedTerm === heartbeat.term;
    if (knowsMatch) {
      group.advanceCommit(Math.min(heartbeat.commitIndex, this.matchedIndex));
    }
    // Read before the wait together with the term: later values may describe another leader's log.
    const { term } = group;
    const { matchedIndex: matchIndex } = this;
    await group.waitTermDurable();
    return { group: name, term, accepted: true, knowsMatch, matchIndex };
  }

  async snapshot(request: SnapshotChunk): Promise<SnapshotResponse> {
    const { group } = this;
    if (request.term < group.term) return { term: group.term, accepted: false };
    this.followLeader(request.term, request.from);
    const completeState = this.addChunk(request);
    if (completeState === 'refused') return { term: group.term, accepted: false };
    if (completeState && request.mark.index > group.applier.appliedIndex) {
      const snapshot = {
        ...request.mark,
        configuration: request.configuration,
        state: completeState,
      };
      // Recovery treats a snapshot without a term as a lost log, so the term has to be durable
      // first.
      if (group.log.lastIndex === 0) await group.waitTermDurable();
      await group.applier.install(snapshot, decodeConfiguration(request.latestConfiguration));
    }
    await group.waitTermDurable();
    return { term: request.term, accepted: true };
  }

  transfer(request: TransferRequest): boolean {
    if (request.term !== this.group.term) return false;
    if (!isVoter(this.group.configuration, this.group.ownId)) return false;
    this.group.elections.start(true);
    return true;
  }

  /** Clears the last leader contact, so that this member may vote for another candidate. */
  forgetLeader(): void {
    this.leaderContactAt = Number.NEGATIVE_INFINITY;
  }

  /** Whether the leader made contact within the election timeout. */
  private hasRecentLeaderContact(): boolean {
    if (this.group.isLeader) return true;
    return monotonicMs() - this.leaderContactAt < this.group.elections.timeoutMs;
  }

  private isLogUpToDate(request: VoteRequest): boolean {
    const { lastTerm, lastIndex } = this.group.log;
    if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm;
    return request.lastIndex >= lastIndex;
  }

  private followLeader(term: number, leaderId: string): void {
    const { group } = this;
    const isNewLeader =
      term > group.term || group.state !== 'follower' || group.leaderId !== leaderId;
    if (isNewLeader) group.becomeFollower(term, leaderId);
    const now = monotonicMs();
    group.elections.noteLeader(isNewLeader ? 0 : this.silenceBefore(now));
    this.leaderContactAt = now;
  }

  /** A learner gets fewer heartbeats, whose distance says nothing about the latency. */
  private silenceBefore(now: number): number {
    const { configuration, ownId } = this.group;
    return isVoter(configuration, ownId) ? now - this.leaderContactAt : Infinity;
  }

  private async appendEntries(newEntries: LogEntry[]): Promise<AppendResponse | undefined> {
    const { group } = this;
    const first = newEntries[0]!;
    if (first.index <= group.commitIndex) {
      this.environment.onFatal(
        new Error(`${group.name}: leader tried to overwrite committed entries`),
      );
      return this.rejectAppend(0);
    }
    if (
      group.log.processHeldBytes >=
      FOLLOWER_MEMORY_FACTOR * this.environment.options.maxHeldBytes
    ) {
      return this.rejectAsFull();
    }
    try {
      const written = group.log.append(newEntries);
      group.applier.noteLogged(newEntries);
      await written;
    } catch (error) {
      if (!(error instanceof StorageFullError)) throw error;
      return this.rejectAsFull();
    }
    return undefined;
  }

  private rejectAsFull(): AppendResponse {
    return { term: this.group.term, success: false, matchIndex: 0, isFull: true };
  }

  private noteMatched(term: number, matched: number, commitIndex: number): void {
    this.matchedIndex = this.matchedTerm === term ? Math.max(this.matchedIndex, matched) : matched;
    this.matchedTerm = term;
    this.group.advanceCommit(Math.min(commitIndex, this.matchedIndex));
  }

  private rejectAppend(matchIndex: number): AppendResponse {
    return { term: this.group.term, success: false, matchIndex, isFull: false };
  }

  /** Skips all entries of the conflicting term, which reduces the round trips to find the match. */
  private lastPlausibleMatch(request: AppendRequest): number {
    const { log } = this.group;
    let index = Math.min(log.lastIndex, request.previousIndex - 1);
    const conflictingTerm = log.termAt(request.previousIndex);
    while (index > log.compactedTo.index && log.termAt(index) === conflictingTerm) index -= 1;
    return Math.max(index, Math.min(log.compactedTo.index, request.previousIndex - 1));
  }

  private addChunk(request: SnapshotChunk): Uint8Array | 'refused' | undefined {
    if (request.offset === 0) {
      const { index } = request.mark;
      const state = Buffer.allocUnsafe(request.stateBytes);
      this.incoming = { index, from: request.from, state, received: 0 };
    }
    const { incoming } = this;
    const continues =
      incoming?.index === request.mark.index &&
      incoming.from === request.from &&
      incoming.received === request.offset &&
      incoming.received + request.chunk.length <= incoming.state.length;
    if (!incoming || !continues) return 'refused';
    incoming.state.set(request.chunk, incoming.received);
    incoming.received += request.chunk.length;
    if (incoming.received < incoming.state.length) return undefined;
    this.incoming = undefined;
    return incoming.state;
  }
}
