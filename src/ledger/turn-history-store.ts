/**
 * Reads and stores turn histories: the index determines the turns, the value store holds their values.
 * Values that are missing on this member, because it is new or they are damaged, are fetched from
 * other members.
 */
import { LedgegaugeError, SignalEvent, describeError, monotonicMs } from '../common/index.js';
import type { ExternalState, Member } from '../consensus/index.js';
import type { LogEntry, StoredSnapshot } from '../log-store/index.js';
import type { Logger } from '../observability/index.js';
import { ExpiredValueDeletions } from './expired-value-deletions.js';
import type { KeptTurnIndex } from './kept-turn-index.js';
import { LossReports } from './loss-reports.js';
import type { ReadTurnsResponse, ReadTurnsRequest } from './messages.js';
import type { TurnValueStore } from './turn-value-store.js';

/** No member returned some values. Their turns are kept, so the caller may retry. */
export class TurnValuesMissingError extends LedgegaugeError {}

/** Reads kept turns from another member. @throws when it does not respond */
export type ReadTurnsAt = (
  address: string,
  request: ReadTurnsRequest,
) => Promise<ReadTurnsResponse>;

/** Maximum number of turns per request; the response is limited in bytes. */
const MAX_REQUESTED_TURNS = 500;
/** Size from which on no further values are added to a response. */
const MAX_RESPONSE_BYTES = 512 * 1024;
/** Number of values read from disk concurrently; the thread pool of Node.js has four threads. */
const READ_CONCURRENCY = 8;

/**
 * How long a follower waits for copies before it fetches the values from other members, in milliseconds. The entry that
 * references a value follows it by a sync and a message, so a value is later than its entry only on a full link.
 */
const COPY_TIMEOUT_MS = 100;
/**
 * Maximum size of values without a log entry; further copies are dropped, and fetched once referenced. A follower that
 * lags behind or whose disk is full would otherwise collect them without bound.
 */
const MAX_UNREFERENCED_BYTES = 4 * 1024 * 1024;

/**
 * Shares of the value store's quota up to which the leader accepts first turns, turns that continue others, so that begun
 * programs come first, and the values of answered turns. The rest is for other members, which may hold values that the
 * leader has deleted already.
 */
const FIRST_TURNS_SHARE = 0.85;
const LATER_TURNS_SHARE = 0.9;
const ANSWERED_TURNS_SHARE = 0.95;

const LOG_INTERVAL_MS = 1_000;
/** Placeholder for the value of an expired turn. */
const EMPTY_VALUE = Buffer.alloc(0);

/** A turn that a log entry refers to, and the index of the entry. */
interface TurnReference {
  turn: string;
  index: number;
}

/** Values that a member should hold and has lost. */
interface LossReport {
  answeredBy: string | undefined;
  lost: string[];
}

export interface TurnHistoryStoreOptions {
  turns: KeptTurnIndex;
  values: TurnValueStore;
  readTurnsAt: ReadTurnsAt;
  /** Ids of the turns in an encoded state. */
  turnIdsInSnapshot: (state: Uint8Array) => string[];
  /** Ids of the turns that a log entry refers to without their values. */
  turnIdsInEntry: (entry: LogEntry) => string[];
  logger: Logger;
}

export class TurnHistoryStore implements ExternalState {
  private readonly copyArrived = new SignalEvent();
  /** The latest fetch of values that log entries refer to; fetches are serialized. */
  private pendingFetch: Promise<void> = Promise.resolve();
  /** Values requested from other members since the latest log message, and those that none returned. */
  private readonly fetched = { asked: 0, missing: 0 };
  private lastLoggedAt = Number.NEGATIVE_INFINITY;
  readonly deletions: ExpiredValueDeletions;

  constructor(private readonly options: TurnHistoryStoreOptions) {
    this.deletions = new ExpiredValueDeletions(options.turns);
  }

  /** Whether the leader may accept a turn that will be kept with an input of this size. */
  hasRoomForTurn(inputBytes: number, isFirst: boolean): boolean {
    const share = isFirst ? FIRST_TURNS_SHARE : LATER_TURNS_SHARE;
    return this.options.values.hasRoomFor(inputBytes, share);
  }

  /** Whether the leader may accept the values of turns that have been answered. */
  hasRoomForValues(bytes: number): boolean {
    return this.options.values.hasRoomFor(bytes, ANSWERED_TURNS_SHARE);
  }

  sync(): Promise<void> {
    return this.options.values.sync();
  }

  /**
   * Reads the history up to and including a turn, oldest first; undefined if the turn is not kept.
   * @param sources members from which missing values are fetched
   * @throws TurnValuesMissingError when a value is unavailable
   */
  async read(turn: string, sources: readonly Member[]): Promise<Buffer | undefined> {
    const chain = this.options.turns.chain(turn);
    if (!chain) return undefined;
    const values = await this.valuesOf(chain);
    const missing = chain.filter((_, index) => values[index] === undefined);
    if (missing.length === 0) return Buffer.concat(values as Buffer[]);
    await this.fetch(new Set(missing), sources);
    const refetched = await this.valuesOf(chain);
    if (refetched.includes(undefined)) throw missingError(missing.length);
    return Buffer.concat(refetched as Buffer[]);
  }

  /**
   * Serves a read of another member from the local store.
   * @param isStateRecentEnough whether this member's state can tell expired turns from lost values
   */
  async answer(
    { turns, atIndex }: ReadTurnsRequest,
    isStateRecentEnough: boolean,
  ): Promise<ReadTurnsResponse> {
    const index = this.options.turns;
    const isExpired = (id: string): boolean =>
      (isStateRecentEnough && index.hasExpired(id)) ||
      (atIndex !== undefined && index.expired.isReported(id));
    const response: ReadTurnsResponse = { values: [], expired: [], lost: [], covered: 0 };
    let bytes = 0;
    while (response.covered < turns.length && bytes < MAX_RESPONSE_BYTES) {
      const group = turns.slice(response.covered, response.covered + READ_CONCURRENCY);
      const values = await this.valuesOf(group);
      for (const [position, id] of group.entries()) {
        const value = values[position];
        if (isExpired(id)) response.expired.push(id);
        else if (value) response.values.push([id, value]);
        // A held but unreadable value is neither expired nor lost.
        else if (isStateRecentEnough && !this.options.values.has(id)) response.lost.push(id);
        bytes += value?.length ?? 0;
      }
      response.covered += group.length;
    }
    return response;
  }

  /** Stores a value that arrived ahead of the entry that refers to it. */
  storeCopy(turn: string, value: Uint8Array): void {
    if (this.options.turns.unreferenced.bytes >= MAX_UNREFERENCED_BYTES) return;
    this.put(turn, value);
    this.copyArrived.notify();
  }

  /** Stores values on the leader before it proposes the entry that refers to them. */
  async storeValues(values: ReadonlyMap<string, Buffer>): Promise<void> {
    await this.options.values.waitForRoom();
    for (const [turn, value] of values) this.put(turn, value);
  }

  async attach(
    entries: readonly LogEntry[],
    sources: readonly Member[],
    getsCopies: boolean,
  ): Promise<readonly LogEntry[]> {
    const turnsOf = entries.map((entry) => this.options.turnIdsInEntry(entry));
    const referenced = entries.flatMap(({ index }, position) =>
      turnsOf[position]!.map((turn): TurnReference => ({ turn, index })),
    );
    if (referenced.length === 0) return entries;
    if (getsCopies) await this.waitForCopies(referenced);
    // Serialized, since a leader that gets no response in time resends the same entries.
    const fetched = this.pendingFetch.then(() => this.fetchReferenced(referenced, sources));
    this.pendingFetch = fetched.catch(() => undefined);
    await fetched;
    const attached: LogEntry[] = [];
    for (const [position, entry] of entries.entries()) {
      const turns = turnsOf[position]!;
      attached.push(turns.length === 0 ? entry : await this.attachValues(entry, turns));
    }
    return attached;
  }

  noteLogged(entries: readonly LogEntry[]): void {
    const { turns } = this.options;
    for (const entry of entries) {
      for (const [position, turn] of this.options.turnIdsInEntry(entry).entries()) {
        const value = entry.attachments?.[position];
        if (value && value.length > 0) this.put(turn, value);
        // Followers write an empty value for a turn that another member reported as expired.
        else if (value && !this.options.values.has(turn))
          turns.expired.markReported(turn, entry.index);
        turns.unreferenced.markLogged(turn, entry.index);
      }
    }
  }

  async fetchMissing({ state, index }: StoredSnapshot, sources: readonly Member[]): Promise<void> {
    const isMissing = (id: string): boolean => !this.options.values.has(id);
    const wanted = new Set(this.options.turnIdsInSnapshot(state).filter(isMissing));
    if (wanted.size === 0) return;
    const reports = await this.fetch(wanted, sources, index);
    this.abandonLost(reports.lostByMajorityOf(sources), wanted);
    if (wanted.size > 0) throw missingError(wanted.size);
  }

  /** Drops unrecoverable values from `wanted`: waiting for them would keep a member from joining. */
  private abandonLost(lost: readonly string[], wanted: Set<string>): void {
    const abandoned = lost.filter((turn) => wanted.delete(turn));
    if (abandoned.length > 0)
      this.options.logger.error('kept turns lost', { turns: abandoned.length });
  }

  private put(turn: string, value: Uint8Array): void {
    const { turns, values } = this.options;
    turns.expired.forgetReport(turn);
    if (!turns.has(turn)) turns.unreferenced.markStored(turn, value.length);
    // Copied, since the received value is a view that would retain the whole frame.
    if (!values.has(turn)) values.put(turn, Buffer.from(value));
  }

  /**
   * Fetches missing values as of the last entry that refers to one of them. Other members cannot have applied an
   * uncommitted entry and then do not report expired turns, so the fetch is repeated with an earlier index once the
   * values of the later entries have arrived.
   */
  private async fetchReferenced(
    referenced: readonly TurnReference[],
    sources: readonly Member[],
  ): Promise<void> {
    let missing = this.missingOf(referenced);
    while (missing.length > 0) {
      const wanted = new Set(missing.map(({ turn }) => turn));
      await this.fetch(wanted, sources, missing.at(-1)!.index);
      const remaining = missing.filter(({ turn }) => wanted.has(turn));
      if (remaining.length === missing.length) throw missingError(wanted.size);
      missing = remaining;
    }
  }

  /**
   * Attaches the values of the turns; those of expired turns are empty.
   * @throws TurnValuesMissingError when a value is damaged; the next attempt fetches it
   */
  private async attachValues(entry: LogEntry, turns: readonly string[]): Promise<LogEntry> {
    const held = turns.filter((turn) => this.options.values.has(turn));
    const values = await this.valuesOf(turns);
    const read = values.filter((value) => value !== undefined);
    if (read.length < held.length) throw missingError(held.length - read.length);
    return { ...entry, attachments: values.map((value) => value ?? EMPTY_VALUE) };
  }

  private missingOf(referenced: readonly TurnReference[]): TurnReference[] {
    return referenced.filter(({ turn }) => !this.options.values.has(turn));
  }

  private async waitForCopies(referenced: readonly TurnReference[]): Promise<void> {
    const deadlineMs = monotonicMs() + COPY_TIMEOUT_MS;
    for (;;) {
      const remainingMs = deadlineMs - monotonicMs();
      if (remainingMs <= 0 || this.missingOf(referenced).length === 0) return;
      await this.copyArrived.waitWithTimeout(remainingMs);
    }
  }

  private valuesOf(turns: readonly string[]): Promise<(Buffer | undefined)[]> {
    return Promise.all(turns.map((id) => this.options.values.get(id)));
  }

  /**
   * Removes fetched and expired turns from `wanted`.
   * @returns reports of the members about lost values
   */
  private async fetch(
    wanted: Set<string>,
    sources: readonly Member[],
    atIndex?: number,
  ): Promise<LossReports> {
    const requested = wanted.size;
    const reports = new LossReports();
    for (const source of sources) {
      if (wanted.size === 0) break;
      try {
        const { answeredBy, lost } = await this.fetchFrom(source.address, wanted, atIndex);
        reports.add(source, answeredBy, lost);
      } catch (error) {
        const cause = describeError(error);
        this.options.logger.warn('kept turns not fetched', { peer: source.address, cause });
      }
    }
    this.logFetched(requested, wanted.size);
    return reports;
  }

  /** Rate-limited, since a new member fetches values for each batch of entries. */
  private logFetched(requested: number, missing: number): void {
    this.fetched.asked += requested;
    this.fetched.missing += missing;
    const now = monotonicMs();
    if (now - this.lastLoggedAt < LOG_INTERVAL_MS) return;
    this.lastLoggedAt = now;
    this.options.logger.info('kept turns fetched', { ...this.fetched });
    this.fetched.asked = 0;
    this.fetched.missing = 0;
  }

  /**
   * Sends requests sequentially, each after the values of the previous response have been stored.
   * @returns the values that the member has lost
   */
  private async fetchFrom(
    address: string,
    wanted: Set<string>,
    atIndex?: number,
  ): Promise<LossReport> {
    const report: LossReport = { answeredBy: undefined, lost: [] };
    let remaining = [...wanted];
    while (remaining.length > 0) {
      const turns = remaining.slice(0, MAX_REQUESTED_TURNS);
      const response = await this.options.readTurnsAt(address, { turns, atIndex });
      for (const [id, value] of response.values) {
        await this.options.values.waitForRoom();
        this.put(id, value);
        wanted.delete(id);
      }
      for (const id of response.expired) {
        wanted.delete(id);
        if (atIndex !== undefined) this.options.turns.expired.markReported(id, atIndex);
      }
      if (response.expired.length > 0) this.deletions.noteReport(response.commitIndex ?? 0);
      report.answeredBy = response.memberId;
      report.lost.push(...response.lost);
      remaining = remaining.slice(Math.max(1, response.covered));
    }
    return report;
  }
}

function missingError(count: number): TurnValuesMissingError {
  return new TurnValuesMissingError(`${count} kept turns are held by no member that answered`, {
    step: 'ledger.read-turns',
    retriable: true,
  });
}
