/**
 * Reads what turns continue from: the index says which turns, the values stand on this member's disk.
 * A value that is missing here, because the member is new or the value is damaged, is fetched from
 * other members.
 */
import { LedgegaugeError, SignalEvent, describeError, monotonicMs } from '../common/index.js';
import type { ExternalState, Member } from '../consensus/index.js';
import type { LogEntry, StoredSnapshot } from '../log-store/index.js';
import type { Logger } from '../observability/index.js';
import type { KeptTurnIndex } from './kept-turn-index.js';
import { LossReports } from './loss-reports.js';
import type { ReadTurnsResponse, ReadTurnsRequest } from './messages.js';
import type { TurnValueStore } from './turn-value-store.js';

/** Values that no member gave; the turns are kept, so that the caller may try again. */
export class TurnValuesMissingError extends LedgegaugeError {}

/** Reads kept turns at another member. @throws when it does not answer */
export type ReadTurnsAt = (
  address: string,
  request: ReadTurnsRequest,
) => Promise<ReadTurnsResponse>;

/** Turns asked for in one request: the answer's own limit is in bytes. */
const MAX_REQUESTED_TURNS = 500;
/** An answer takes no more values once it has this many bytes. */
const MAX_ANSWER_BYTES = 512 * 1024;
/** Values read from the disk at the same time: Node's pool has four threads. */
const TURNS_READ_TOGETHER = 8;

/**
 * How long a follower waits for values that are being sent to it, in milliseconds: the entry that names one
 * comes behind it by a sync and a message, so that it is late only on a full link. Then another is asked.
 */
const COPY_WAIT_MS = 100;
/**
 * Bytes of values that may wait for their entries, beyond which copies are not taken: three seconds of what the
 * busiest ledger keeps. A follower that is behind, or whose disk is full, asks others for what it did not take.
 */
const MOST_UNNAMED_BYTES = 4 * 1024 * 1024;

const REPORT_INTERVAL_MS = 1_000;
/** In the place of a value that nobody needs any more. */
const NO_VALUE = Buffer.alloc(0);

/** A turn that a log entry names, and the entry's index. */
interface TurnAtIndex {
  turn: string;
  index: number;
}

/** What one member says of values that it must hold. */
interface LossReport {
  answeredBy: string | undefined;
  lost: string[];
}

export interface TurnHistoryStoreOptions {
  turns: KeptTurnIndex;
  values: TurnValueStore;
  readTurnsAt: ReadTurnsAt;
  /** Ids of the turns that an encoded state names. */
  turnIdsInSnapshot: (state: Uint8Array) => string[];
  /** Turns that a log entry names without their values. */
  turnIdsInEntry: (entry: LogEntry) => string[];
  logger: Logger;
}

export class TurnHistoryStore implements ExternalState {
  private readonly copyArrived = new SignalEvent();
  /** The latest fetch of what entries name. */
  private obtaining: Promise<void> = Promise.resolve();
  /** Since the latest report: values asked of other members, and those that none gave. */
  private readonly fetched = { asked: 0, missing: 0 };
  private reportedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: TurnHistoryStoreOptions) {}

  waitForRoom(): Promise<void> {
    return this.options.values.waitForRoom();
  }

  sync(): Promise<void> {
    return this.options.values.sync();
  }

  /**
   * Everything up to and with a turn, oldest first; undefined when the turn is not kept.
   * @param sources members that may hold what is missing here
   * @throws TurnValuesMissingError when a part of it can't be had now
   */
  async read(turn: string, sources: readonly Member[]): Promise<Buffer | undefined> {
    const chain = this.options.turns.chain(turn);
    if (!chain) return undefined;
    const values = await this.valuesOf(chain);
    const missing = chain.filter((_, index) => values[index] === undefined);
    if (missing.length === 0) return Buffer.concat(values as Buffer[]);
    await this.fetch(new Set(missing), sources);
    const healed = await this.valuesOf(chain);
    if (healed.includes(undefined)) throw missingError(missing.length);
    return Buffer.concat(healed as Buffer[]);
  }

  /**
   * Answers another member from what is held here.
   * @param isStateLateEnough whether this member's state knows which turns are over, and which it must hold
   */
  async answer(
    { turns }: ReadTurnsRequest,
    isStateLateEnough: boolean,
  ): Promise<ReadTurnsResponse> {
    const answer: ReadTurnsResponse = { values: [], expired: [], lost: [], covered: 0 };
    let bytes = 0;
    while (answer.covered < turns.length && bytes < MAX_ANSWER_BYTES) {
      const group = turns.slice(answer.covered, answer.covered + TURNS_READ_TOGETHER);
      const values = await this.valuesOf(group);
      for (const [index, id] of group.entries()) {
        const value = values[index];
        if (value) answer.values.push([id, value]);
        else if (isStateLateEnough) this.noteWithoutValue(answer, id);
        bytes += value?.length ?? 0;
      }
      answer.covered += group.length;
    }
    return answer;
  }

  /** A value that is held and can't be read now is neither lost nor over. */
  private noteWithoutValue({ expired, lost }: ReadTurnsResponse, id: string): void {
    const { turns, values } = this.options;
    if (!turns.has(id)) expired.push(id);
    else if (!values.has(id)) lost.push(id);
  }

  /** Takes a value ahead of the entry that names it. */
  storeCopy(turn: string, value: Uint8Array): void {
    if (this.options.turns.unreferenced.bytes >= MOST_UNNAMED_BYTES) return;
    this.put(turn, value);
    this.copyArrived.notify();
  }

  /** Takes values at the leader, ahead of the entry that names them. */
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
    const named = entries.flatMap(({ index }, place) =>
      turnsOf[place]!.map((turn): TurnAtIndex => ({ turn, index })),
    );
    if (named.length === 0) return entries;
    if (getsCopies) await this.waitForCopies(named);
    // One after the other: a leader that hears nothing in time sends the same entries again.
    const obtained = this.obtaining.then(() => this.obtain(named, sources));
    this.obtaining = obtained.catch(() => undefined);
    await obtained;
    return Promise.all(entries.map((entry, place) => this.withValues(entry, turnsOf[place]!)));
  }

  noteLogged(entries: readonly LogEntry[]): void {
    const { turns } = this.options;
    for (const entry of entries) {
      for (const [place, turn] of this.options.turnIdsInEntry(entry).entries()) {
        const value = entry.attachments?.[place];
        if (value && value.length > 0) this.put(turn, value);
        turns.unreferenced.markLogged(turn, entry.index);
      }
    }
  }

  async fetchMissing({ state, index }: StoredSnapshot, sources: readonly Member[]): Promise<void> {
    const isMissing = (id: string): boolean => !this.options.values.has(id);
    const wanted = new Set(this.options.turnIdsInSnapshot(state).filter(isMissing));
    if (wanted.size === 0) return;
    const reports = await this.fetch(wanted, sources, index);
    this.giveUp(reports.lostByMajorityOf(sources), wanted);
    if (wanted.size > 0) throw missingError(wanted.size);
  }

  /** Values that nobody can give would keep a member, and with it the group's next loss, out for good. */
  private giveUp(lost: readonly string[], wanted: Set<string>): void {
    const given = lost.filter((turn) => wanted.delete(turn));
    if (given.length > 0) this.options.logger.error('kept turns lost', { turns: given.length });
  }

  private put(turn: string, value: Uint8Array): void {
    const { turns, values } = this.options;
    if (!turns.has(turn)) turns.unreferenced.markStored(turn, value.length);
    // Memory of its own, since what was received is a view of a frame that holds much else.
    if (!values.has(turn)) values.put(turn, Buffer.from(value));
  }

  /**
   * Others are asked as of the last entry that names something missing. They can't have applied one that is still
   * to be committed, and don't say then which turns are over; once its own turns have come, an earlier entry is the
   * last.
   */
  private async obtain(named: readonly TurnAtIndex[], sources: readonly Member[]): Promise<void> {
    let missing = this.missingOf(named);
    while (missing.length > 0) {
      const wanted = new Set(missing.map(({ turn }) => turn));
      await this.fetch(wanted, sources, missing.at(-1)!.index);
      const left = missing.filter(({ turn }) => wanted.has(turn));
      if (left.length === missing.length) throw missingError(wanted.size);
      missing = left;
    }
  }

  /**
   * Turns that are over have no value any more.
   * @throws TurnValuesMissingError when one is found damaged; it is fetched at the next try
   */
  private async withValues(entry: LogEntry, turns: readonly string[]): Promise<LogEntry> {
    if (turns.length === 0) return entry;
    const held = turns.filter((turn) => this.options.values.has(turn));
    const values = await this.valuesOf(turns);
    const read = values.filter((value) => value !== undefined);
    if (read.length < held.length) throw missingError(held.length - read.length);
    return { ...entry, attachments: values.map((value) => value ?? NO_VALUE) };
  }

  private missingOf(named: readonly TurnAtIndex[]): TurnAtIndex[] {
    return named.filter(({ turn }) => !this.options.values.has(turn));
  }

  private async waitForCopies(named: readonly TurnAtIndex[]): Promise<void> {
    const deadlineMs = monotonicMs() + COPY_WAIT_MS;
    for (;;) {
      const leftMs = deadlineMs - monotonicMs();
      if (leftMs <= 0 || this.missingOf(named).length === 0) return;
      await this.copyArrived.waitWithTimeout(leftMs);
    }
  }

  private valuesOf(turns: readonly string[]): Promise<(Buffer | undefined)[]> {
    return Promise.all(turns.map((id) => this.options.values.get(id)));
  }

  /**
   * Takes what was fetched, and what is over, out of the set.
   * @returns what members say that they have lost
   */
  private async fetch(
    wanted: Set<string>,
    sources: readonly Member[],
    atIndex?: number,
  ): Promise<LossReports> {
    const asked = wanted.size;
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
    this.reportFetched(asked, wanted.size);
    return reports;
  }

  /** At most once a second: a new member fetches what each batch of entries names. */
  private reportFetched(asked: number, missing: number): void {
    this.fetched.asked += asked;
    this.fetched.missing += missing;
    const now = monotonicMs();
    if (now - this.reportedAt < REPORT_INTERVAL_MS) return;
    this.reportedAt = now;
    this.options.logger.info('kept turns fetched', { ...this.fetched });
    this.fetched.asked = 0;
    this.fetched.missing = 0;
  }

  /**
   * One request after the other, each answer written before the next is asked for.
   * @returns what the member says that it has lost
   */
  private async fetchFrom(
    address: string,
    wanted: Set<string>,
    atIndex?: number,
  ): Promise<LossReport> {
    const report: LossReport = { answeredBy: undefined, lost: [] };
    let waiting = [...wanted];
    while (waiting.length > 0) {
      const turns = waiting.slice(0, MAX_REQUESTED_TURNS);
      const answer = await this.options.readTurnsAt(address, { turns, atIndex });
      for (const [id, value] of answer.values) {
        await this.options.values.waitForRoom();
        this.put(id, value);
        wanted.delete(id);
      }
      for (const id of answer.expired) wanted.delete(id);
      report.answeredBy = answer.memberId;
      report.lost.push(...answer.lost);
      waiting = waiting.slice(Math.max(1, answer.covered));
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
