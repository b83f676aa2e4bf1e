/**
 * A leader's task for one follower: sends entries, or a snapshot where the entries are gone, until
 * the follower holds the whole log; then waits for more.
 */
import { Backoff, SignalEvent, TimeoutError, monotonicMs, sleep } from '../common/index.js';
import type { LogEntry, SnapshotReader } from '../log-store/index.js';
import { type CallOptions, LinkError, type Method } from '../wire/index.js';
import { BatchLimit } from './batch-limit.js';
import { type Member, encodeConfiguration } from './configuration.js';
import type { MemberLog } from './member-log.js';
import {
  APPEND,
  SNAPSHOT,
  type AppendRequest,
  type AppendResponse,
  type SnapshotChunk,
} from './messages.js';
import type { ReplicationTraffic } from './replication-traffic.js';

/** A batch of entries is to be answered within so many heartbeat intervals. */
const BATCH_TARGET_HEARTBEATS = 2;
const SNAPSHOT_CHUNK_BYTES = 512 * 1024;
const APPEND_TIMEOUT_MS = 1_000;
/**
 * After a time-out: what is on its way still may be received, and the same bytes sent again and again
 * would fill the link for good. A connection that has ended ends the wait at once.
 */
const MAX_APPEND_TIMEOUT_MS = 2_000;
/** A peer that sends nothing for so long is connected to anew, in milliseconds: as for heartbeats. */
const APPEND_SILENCE_MS = 400;
const SNAPSHOT_TIMEOUT_MS = 5_000;
const FULL_FOLLOWER_WAIT_MS = 500;
/**
 * While commands wait, a learner's share of the time: it rests so many times as long as
 * its batch took. Three learners beside four voters take 0.16 of a full link then, not 0.43.
 */
const LEARNER_PAUSE_FACTOR = 3;
/**
 * A learner that gets no further for so long, in milliseconds, is sent entries by the leader itself: some
 * heartbeats, in which a voter that works sends several batches.
 */
const RELAY_PROGRESS_TIMEOUT_MS = 600;
/** For how long then, in milliseconds; a relay that is still gone costs another wait after that. */
const DIRECT_REPLICATION_MS = 3_000;

/** What the task needs of the log that it sends. */
export type ReplicatedLog = Pick<
  MemberLog,
  'lastIndex' | 'compactedTo' | 'termAt' | 'slice' | 'openSnapshot' | 'configuration'
>;

/** What the task needs of its leader, or of a voter that sends entries on in the leader's name. */
export interface ReplicationSource {
  readonly group: string;
  readonly ownId: string;
  readonly term: number;
  readonly commitIndex: number;
  readonly log: ReplicatedLog;
  readonly heartbeatIntervalMs: number;
  readonly traffic: ReplicationTraffic;
  /** Whether there are more commands than the group commits soon. */
  readonly isOverloaded: boolean;
  /** Whether it sends a snapshot where entries are gone, or leaves that to another. */
  readonly sendsSnapshots: boolean;
  /** Whether a member counts for commits. */
  isVoter(memberId: string): boolean;
  /** Whether another member sends entries on to this one. */
  isRelayed(memberId: string): boolean;
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
  private readonly batchLimit: BatchLimit;
  private appendTimeoutMs = APPEND_TIMEOUT_MS;
  private relayFailedAt = Number.NEGATIVE_INFINITY;
  /** Ends the pause in which entries for a learner gather. */
  private pauseController: AbortController | undefined;

  constructor(
    private readonly source: ReplicationSource,
    readonly member: Member,
  ) {
    this.nextIndex = source.log.lastIndex + 1;
    this.batchLimit = new BatchLimit(BATCH_TARGET_HEARTBEATS * source.heartbeatIntervalMs);
    void this.run();
  }

  /** Tells the task that there are new entries. */
  notify(): void {
    this.wake.notify();
  }

  /** Finds anew how far the follower's log matches: it was restarted and has forgotten. */
  probeAgain(): void {
    this.hasProbed = false;
    this.pauseController?.abort();
    this.wake.notify();
  }

  /**
   * The follower has said how far its log matches. That counts for commits at once: no append follows
   * where the answer to the last one was lost, and what waits for its commit would wait for good.
   */
  noteMatch(index: number): void {
    if (index <= this.matchIndex) return;
    this.matchIndex = index;
    this.nextIndex = Math.max(this.nextIndex, index + 1);
    this.source.onFollowerProgress();
  }

  /** The follower counts for commits from now on. */
  notePromoted(): void {
    this.pauseController?.abort();
  }

  stop(): void {
    this.stopping.abort();
    this.pauseController?.abort();
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
      if (this.hasProbed && this.nextIndex > this.source.log.lastIndex) {
        await this.wake.wait();
        continue;
      }
      try {
        const { lastIndex } = this.source.log;
        const sentAt = monotonicMs();
        await this.sendNext();
        backoff.reset();
        await this.throttleLearner(monotonicMs() - sentAt, this.matchIndex >= lastIndex);
        await this.yieldToRelay();
      } catch {
        await sleep(backoff.nextDelayMs(), this.stopping.signal);
      }
    }
  }

  /**
   * Nothing waits for the answers of a learner. One that holds all there is gets what comes next
   * together, once a heartbeat interval; one that does not gives way to commands that wait.
   */
  private async throttleLearner(tookMs: number, isUpToDate: boolean): Promise<void> {
    const { source, member } = this;
    if (source.isVoter(member.id) || this.isStopped) return;
    const pauseMs = Math.max(
      isUpToDate ? source.heartbeatIntervalMs : 0,
      source.isOverloaded ? LEARNER_PAUSE_FACTOR * tookMs : 0,
    );
    if (pauseMs > 0) await this.pause(pauseMs);
  }

  /** Sends a learner nothing as long as the voter that sends entries on brings it forward. */
  private async yieldToRelay(): Promise<void> {
    const { source } = this;
    while (this.canYieldToRelay) {
      if (monotonicMs() - this.relayFailedAt < DIRECT_REPLICATION_MS) return;
      const { lastIndex } = source.log;
      const { matchIndex } = this;
      await this.pause(RELAY_PROGRESS_TIMEOUT_MS);
      if (this.matchIndex < lastIndex && this.matchIndex === matchIndex) {
        this.relayFailedAt = monotonicMs();
      }
    }
  }

  /** A learner that holds nothing yet is brought there by the leader, and so is one that has forgotten. */
  private get canYieldToRelay(): boolean {
    if (this.isStopped || !this.hasProbed || this.needsSnapshot) return false;
    return this.matchIndex > 0 && this.source.isRelayed(this.member.id);
  }

  /** Ends early when the member is promoted, or has forgotten how far its log matches. */
  private async pause(milliseconds: number): Promise<void> {
    this.pauseController = new AbortController();
    await sleep(milliseconds, this.pauseController.signal);
    this.pauseController = undefined;
  }

  private get needsSnapshot(): boolean {
    return this.nextIndex <= this.source.log.compactedTo.index;
  }

  private async sendNext(): Promise<void> {
    if (!this.needsSnapshot) await this.sendEntries();
    else if (this.source.sendsSnapshots) await this.sendSnapshot();
    else await this.waitForLeaderSnapshot();
  }

  private async waitForLeaderSnapshot(): Promise<void> {
    await this.pause(RELAY_PROGRESS_TIMEOUT_MS);
    this.nextIndex = this.source.log.lastIndex + 1;
    this.hasProbed = false;
  }

  private async sendEntries(): Promise<void> {
    const { log, group, ownId, term, commitIndex } = this.source;
    const previousIndex = this.nextIndex - 1;
    const previousTerm = log.termAt(previousIndex) ?? 0;
    const entries = this.hasProbed ? log.slice(this.nextIndex, this.batchLimit.bytes) : [];
    const base = { group, to: this.member.id, from: ownId, term };
    const request = { ...base, previousIndex, previousTerm, entries, commitIndex };
    const sentAt = monotonicMs();
    const response = await this.callAppend(request);
    if (this.isStopped) return;
    await this.processResponse(response, sentAt);
  }

  private async callAppend(request: AppendRequest): Promise<AppendResponse> {
    const sentAt = monotonicMs();
    const options = { timeoutMs: this.appendTimeoutMs, silenceMs: APPEND_SILENCE_MS };
    try {
      const response = await this.source.call(this.member, APPEND, request, options);
      this.appendTimeoutMs = APPEND_TIMEOUT_MS;
      this.noteSent(request.entries, monotonicMs() - sentAt);
      return response;
    } catch (error) {
      if (error instanceof TimeoutError) this.appendTimeoutMs = MAX_APPEND_TIMEOUT_MS;
      // Nothing goes out over a link that is down.
      if (!(error instanceof LinkError)) this.noteSent(request.entries, monotonicMs() - sentAt);
      throw error;
    }
  }

  private noteSent(entries: readonly LogEntry[], tookMs: number): void {
    const { traffic } = this.source;
    const firstSent = this.source.isVoter(this.member.id) ? 'voterEntries' : 'learnerEntries';
    let bytes = 0;
    for (const { index, data } of entries) {
      traffic[index <= this.sentIndex ? 'repeatedEntries' : firstSent] += data.length;
      bytes += data.length;
    }
    this.sentIndex = Math.max(this.sentIndex, entries.at(-1)?.index ?? 0);
    this.batchLimit.note(bytes, tookMs);
  }

  private async processResponse(response: AppendResponse, sentAt: number): Promise<void> {
    if (response.term > this.source.term) {
      this.source.onHigherTerm(response.term);
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
    this.source.onFollowerProgress();
  }

  private async sendSnapshot(): Promise<void> {
    const reader = await this.source.log.openSnapshot();
    if (!reader) return;
    try {
      await this.sendChunks(reader);
    } finally {
      await reader.close();
    }
    if (this.isStopped) return;
    this.matchIndex = Math.max(this.matchIndex, reader.head.index);
    this.nextIndex = this.matchIndex + 1;
    this.source.onFollowerProgress();
  }

  /** One chunk after the other, each answered before the next is read; a broken one begins anew. */
  private async sendChunks(reader: SnapshotReader): Promise<void> {
    const { group, ownId, term } = this.source;
    const { configuration, ...mark } = reader.head;
    const { stateBytes } = reader;
    const latestConfiguration = encodeConfiguration(this.source.log.configuration);
    const head = { group, to: this.member.id, from: ownId, term };
    const base = { ...head, mark, configuration, latestConfiguration, stateBytes };
    let offset = 0;
    do {
      const chunk = await reader.read(SNAPSHOT_CHUNK_BYTES);
      this.source.traffic.snapshots += chunk.length;
      await this.sendChunk({ ...base, offset, chunk });
      offset += chunk.length;
    } while (offset < stateBytes && !this.isStopped);
  }

  private async sendChunk(chunk: SnapshotChunk): Promise<void> {
    const sentAt = monotonicMs();
    const response = await this.source.call(this.member, SNAPSHOT, chunk, {
      timeoutMs: SNAPSHOT_TIMEOUT_MS,
    });
    if (response.term > this.source.term) this.source.onHigherTerm(response.term);
    if (!response.accepted) throw new Error('snapshot chunk refused');
    this.noteAcknowledged(sentAt);
  }
}
