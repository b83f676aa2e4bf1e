/**
 * A leader's task for one follower: sends entries, or a snapshot where the entries are gone, until
 * the follower holds the whole log; then waits for more.
 */
import { Backoff, SignalEvent, monotonicMs, sleep } from '../common/index.js';
import type { LogEntry, SnapshotReader } from '../log-store/index.js';
import type { CallOptions, Method } from '../wire/index.js';
import type { Member } from './configuration.js';
import type { MemberLog } from './member-log.js';
import { APPEND, SNAPSHOT, type AppendResponse, type SnapshotChunk } from './messages.js';
import type { ReplicationTraffic } from './replication-traffic.js';

const MAX_APPEND_BYTES = 1024 * 1024;
const SNAPSHOT_CHUNK_BYTES = 512 * 1024;
const APPEND_TIMEOUT_MS = 1_000;
const SNAPSHOT_TIMEOUT_MS = 5_000;
const FULL_FOLLOWER_WAIT_MS = 500;

/** What the task needs of its leader. */
export interface ReplicationLeader {
  readonly group: string;
  readonly ownId: string;
  readonly term: number;
  readonly commitIndex: number;
  readonly log: MemberLog;
  readonly heartbeatIntervalMs: number;
  readonly traffic: ReplicationTraffic;
  /** Whether a member counts for commits. */
  isVoter(memberId: string): boolean;
  call<Request, Response>(
    member: Member,
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response>;
  onFollowerProgress(): void;
  onHigherTerm(term: number): void;
}

export class Replicator {
  /** The last index that the follower is known to hold. */
  matchIndex = 0;
  /** When the latest message that the follower answered was sent, on the monotonic clock. */
  acknowledgedSentAt = Number.NEGATIVE_INFINITY;
  private nextIndex: number;
  /** The last index that was sent, whether or not it was answered. */
  private sentIndex = 0;
  private hasProbed = false;
  private readonly wake = new SignalEvent();
  private readonly stopping = new AbortController();
  /** Ends the pause in which entries for a learner gather. */
  private gathering: AbortController | undefined;

  constructor(
    private readonly leader: ReplicationLeader,
    readonly member: Member,
  ) {
    this.nextIndex = leader.log.lastIndex + 1;
    void this.run();
  }

  /** Tells the task that there are new entries. */
  notify(): void {
    this.wake.notify();
  }

  /** Finds anew how far the follower's log matches: it was restarted and has forgotten. */
  probeAgain(): void {
    this.hasProbed = false;
    this.wake.notify();
  }

  /** The follower counts for commits from now on. */
  notePromoted(): void {
    this.gathering?.abort();
  }

  stop(): void {
    this.stopping.abort();
    this.gathering?.abort();
    this.wake.notify();
  }

  /** Notes that the follower answered a message sent at `sentAt` (monotonic, milliseconds). */
  noteAcknowledged(sentAt: number): void {
    this.acknowledgedSentAt = Math.max(this.acknowledgedSentAt, sentAt);
  }

  private get isStopped(): boolean {
    return this.stopping.signal.aborted;
  }

  private async run(): Promise<void> {
    const backoff = new Backoff({ initialMs: 20, maximumMs: 200 });
    while (!this.isStopped) {
      if (this.hasProbed && this.nextIndex > this.leader.log.lastIndex) {
        await this.wake.wait();
        continue;
      }
      try {
        const { lastIndex } = this.leader.log;
        await this.sendNext();
        backoff.reset();
        if (this.matchIndex >= lastIndex) await this.gatherForLearner();
      } catch {
        await sleep(backoff.nextDelayMs(), this.stopping.signal);
      }
    }
  }

  /**
   * Nothing waits for the answers of a learner that holds all there is: it gets what comes next
   * together, once a heartbeat interval.
   */
  private async gatherForLearner(): Promise<void> {
    const { leader, member } = this;
    if (leader.isVoter(member.id) || this.isStopped) return;
    this.gathering = new AbortController();
    await sleep(leader.heartbeatIntervalMs, this.gathering.signal);
    this.gathering = undefined;
  }

  private async sendNext(): Promise<void> {
    const needsSnapshot = this.nextIndex <= this.leader.log.compactedTo.index;
    if (needsSnapshot) await this.sendSnapshot();
    else await this.sendEntries();
  }

  private async sendEntries(): Promise<void> {
    const { log, group, ownId, term, commitIndex } = this.leader;
    const previousIndex = this.nextIndex - 1;
    const previousTerm = log.termAt(previousIndex) ?? 0;
    const entries = this.hasProbed ? log.slice(this.nextIndex, MAX_APPEND_BYTES) : [];
    const base = { group, to: this.member.id, from: ownId, term };
    const request = { ...base, previousIndex, previousTerm, entries, commitIndex };
    this.countEntries(entries);
    const sentAt = monotonicMs();
    const response = await this.leader.call(this.member, APPEND, request, {
      timeoutMs: APPEND_TIMEOUT_MS,
    });
    if (this.isStopped) return;
    await this.takeResponse(response, sentAt);
  }

  private countEntries(entries: readonly LogEntry[]): void {
    const { traffic } = this.leader;
    const firstSent = this.leader.isVoter(this.member.id) ? 'voterEntries' : 'learnerEntries';
    for (const { index, data } of entries) {
      traffic[index <= this.sentIndex ? 'repeatedEntries' : firstSent] += data.length;
    }
    this.sentIndex = Math.max(this.sentIndex, entries.at(-1)?.index ?? 0);
  }

  private async takeResponse(response: AppendResponse, sentAt: number): Promise<void> {
    if (response.term > this.leader.term) {
      this.leader.onHigherTerm(response.term);
      return;
    }
    this.noteAcknowledged(sentAt);
    this.hasProbed = true;
    if (response.success) {
      this.matchIndex = Math.max(this.matchIndex, response.matchIndex);
      this.nextIndex = this.matchIndex + 1;
    } else if (response.isFull) {
      await sleep(FULL_FOLLOWER_WAIT_MS, this.stopping.signal);
    } else {
      this.nextIndex = Math.max(1, Math.min(this.nextIndex - 1, response.matchIndex + 1));
    }
    this.leader.onFollowerProgress();
  }

  private async sendSnapshot(): Promise<void> {
    const reader = await this.leader.log.openSnapshot();
    if (!reader) return;
    try {
      await this.sendChunks(reader);
    } finally {
      await reader.close();
    }
    if (this.isStopped) return;
    this.matchIndex = Math.max(this.matchIndex, reader.head.index);
    this.nextIndex = this.matchIndex + 1;
    this.leader.onFollowerProgress();
  }

  /** One chunk after the other, each answered before the next is read; a broken one begins anew. */
  private async sendChunks(reader: SnapshotReader): Promise<void> {
    const { group, ownId, term } = this.leader;
    const { configuration, ...mark } = reader.head;
    const { stateBytes } = reader;
    const base = { group, to: this.member.id, from: ownId, term, mark, configuration, stateBytes };
    let offset = 0;
    do {
      const chunk = await reader.read(SNAPSHOT_CHUNK_BYTES);
      this.leader.traffic.snapshots += chunk.length;
      await this.sendChunk({ ...base, offset, chunk });
      offset += chunk.length;
    } while (offset < stateBytes && !this.isStopped);
  }

  private async sendChunk(chunk: SnapshotChunk): Promise<void> {
    const sentAt = monotonicMs();
    const response = await this.leader.call(this.member, SNAPSHOT, chunk, {
      timeoutMs: SNAPSHOT_TIMEOUT_MS,
    });
    if (response.term > this.leader.term) this.leader.onHigherTerm(response.term);
    if (!response.accepted) throw new Error('snapshot chunk refused');
    this.noteAcknowledged(sentAt);
  }
}
