/**
 * Replicates the log to one follower: sends entries, or a snapshot if the entries have been
 * compacted, until the follower is up to date, then waits for new entries.
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

/** Target response time of a batch, in heartbeat intervals. */
const BATCH_TARGET_HEARTBEATS = 2;
const SNAPSHOT_CHUNK_BYTES = 512 * 1024;
const APPEND_TIMEOUT_MS = 1_000;
/**
 * Timeout after a previous one: the data may still be in transit, and resending it too soon would
 * keep the link saturated. A closed connection ends the wait immediately.
 */
const MAX_APPEND_TIMEOUT_MS = 2_000;
/** Time without data from the peer after which the connection is suspect, as for heartbeats. */
const APPEND_SILENCE_MS = 400;
const SNAPSHOT_TIMEOUT_MS = 5_000;
const FULL_FOLLOWER_WAIT_MS = 500;
/**
 * While commands wait, a learner pauses for this multiple of the time that its last batch took. Three learners beside
 * four voters then take 0.16 of a full link instead of 0.43.
 */
const LEARNER_PAUSE_FACTOR = 3;
/**
 * Interval of the heartbeats to a learner, in heartbeat intervals. Commits and elections don't depend on it, while a
 * heartbeat takes as much processor time as one to a voter.
 */
export const LEARNER_HEARTBEAT_INTERVALS = 4;
/**
 * Time without progress of a learner after which its relay is considered failed and the leader sends the entries itself,
 * in heartbeats to the learner, whose responses tell of the progress.
 */
const RELAY_PROGRESS_HEARTBEATS = 4;
/** Time for which a relay leaves a learner that needs a snapshot to the leader, in milliseconds. */
const LEADER_SNAPSHOT_WAIT_MS = 600;
/** Time for which the leader replicates to a learner itself after its relay failed. */
const DIRECT_REPLICATION_MS = 3_000;

/** What a replicator needs from the log. */
export type ReplicatedLog = Pick<
  MemberLog,
  'lastIndex' | 'compactedTo' | 'termAt' | 'slice' | 'openSnapshot' | 'configuration'
>;

/** What a replicator needs from the leader, or from a voter that relays on its behalf. */
export interface ReplicationSource {
  readonly group: string;
  readonly ownId: string;
  readonly term: number;
  readonly commitIndex: number;
  readonly log: ReplicatedLog;
  readonly heartbeatIntervalMs: number;
  readonly traffic: ReplicationTraffic;
  /** Whether commands are waiting to be appended. */
  readonly isOverloaded: boolean;
  /** Whether this source sends snapshots, or leaves them to the leader. */
  readonly sendsSnapshots: boolean;
  /** Whether a member counts for commits. */
  isVoter(memberId: string): boolean;
  /** Whether another member relays entries to this one. */
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
  /** Last index known to be stored on the follower. */
  matchIndex = 0;
  /** Send time of the latest message that the follower acknowledged (monotonic, milliseconds). */
  acknowledgedSentAt = Number.NEGATIVE_INFINITY;
  /** Send time of the latest entries or snapshot chunk (monotonic, milliseconds). */
  private dataSentAt = Number.NEGATIVE_INFINITY;
  private nextIndex: number;
  /** Last index that has been sent, whether or not it was acknowledged. */
  private sentIndex = 0;
  private hasProbed = false;
  private readonly wake = new SignalEvent();
  private readonly stopping = new AbortController();
  private readonly batchLimit: BatchLimit;
  private appendTimeoutMs = APPEND_TIMEOUT_MS;
  private relayFailedAt = Number.NEGATIVE_INFINITY;
  /** Ends a pause early. */
  private pauseController: AbortController | undefined;

  constructor(
    private readonly source: ReplicationSource,
    readonly member: Member,
  ) {
    this.nextIndex = source.log.lastIndex + 1;
    this.batchLimit = new BatchLimit(BATCH_TARGET_HEARTBEATS * source.heartbeatIntervalMs);
    void this.run();
  }

  /** Called when there are new entries. */
  notify(): void {
    this.wake.notify();
  }

  /** Probes the follower's match index again after it restarted. */
  probeAgain(): void {
    this.hasProbed = false;
    this.pauseController?.abort();
    this.wake.notify();
  }

  /**
   * Records the match index reported by the follower. It counts for commits at once: if the
   * response to the last append was lost, no further append may follow.
   */
  noteMatch(index: number): void {
    if (index <= this.matchIndex) return;
    this.matchIndex = index;
    this.nextIndex = Math.max(this.nextIndex, index + 1);
    this.source.onFollowerProgress();
  }

  /** Called when the follower becomes a voter. */
  notePromoted(): void {
    this.pauseController?.abort();
  }

  stop(): void {
    this.stopping.abort();
    this.pauseController?.abort();
    this.wake.notify();
  }

  /** Records the acknowledgement of a message sent at `sentAt` (monotonic, milliseconds). */
  noteAcknowledged(sentAt: number): void {
    this.acknowledgedSentAt = Math.max(this.acknowledgedSentAt, sentAt);
  }

  /**
   * Whether a heartbeat would tell the follower or the leader anything new. A voter that was sent data within the last
   * interval, and acknowledged a message sent within it, needs none; nor does a learner that acknowledged one recently.
   */
  get isHeartbeatDue(): boolean {
    const now = monotonicMs();
    if (!this.source.isVoter(this.member.id))
      return this.acknowledgedSentAt < now - this.learnerHeartbeatIntervalMs;
    const since = now - this.source.heartbeatIntervalMs;
    return this.dataSentAt < since || this.acknowledgedSentAt < since;
  }

  private get learnerHeartbeatIntervalMs(): number {
    return LEARNER_HEARTBEAT_INTERVALS * this.source.heartbeatIntervalMs;
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
   * Commits do not depend on learners. A learner that is up to date gets new entries in batches,
   * once per heartbeat interval; a lagging one yields to waiting commands.
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

  /** Sends nothing to a learner while its relay makes progress. */
  private async yieldToRelay(): Promise<void> {
    const { source } = this;
    while (this.canYieldToRelay) {
      if (monotonicMs() - this.relayFailedAt < DIRECT_REPLICATION_MS) return;
      const { lastIndex } = source.log;
      const { matchIndex } = this;
      await this.pause(RELAY_PROGRESS_HEARTBEATS * this.learnerHeartbeatIntervalMs);
      if (this.matchIndex < lastIndex && this.matchIndex === matchIndex) {
        this.relayFailedAt = monotonicMs();
      }
    }
  }

  /**
   * The leader itself replicates to a learner whose log is empty or whose match index is unknown.
   */
  private get canYieldToRelay(): boolean {
    if (this.isStopped || !this.hasProbed || this.needsSnapshot) return false;
    return this.matchIndex > 0 && this.source.isRelayed(this.member.id);
  }

  /** Ends early when the member is promoted or must be probed again. */
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
    await this.pause(LEADER_SNAPSHOT_WAIT_MS);
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
    if (entries.length > 0) this.dataSentAt = sentAt;
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
      // Nothing is sent over a link that is down.
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

  /**
   * Sends chunks one at a time, each acknowledged before the next. A failed transfer starts over.
   */
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
    this.dataSentAt = sentAt;
    const response = await this.source.call(this.member, SNAPSHOT, chunk, {
      timeoutMs: SNAPSHOT_TIMEOUT_MS,
    });
    if (response.term > this.source.term) this.source.onHigherTerm(response.term);
    if (!response.accepted) throw new Error('follower rejected a snapshot chunk');
    this.noteAcknowledged(sentAt);
  }
}
