/**
 * Reads what turns continue from: the index says which turns, the values stand on this member's disk.
 * A value that is missing here, because the member is new or the value is damaged, is fetched from
 * other members.
 */
import { LedgegaugeError, describeError } from '../common/index.js';
import type { ExternalState, Member } from '../consensus/index.js';
import type { StoredSnapshot } from '../log-store/index.js';
import type { Logger } from '../observability/index.js';
import type { KeptTurns } from './kept-turns.js';
import type { ReadTurnsAnswer, ReadTurnsRequest } from './messages.js';
import type { TurnValues } from './turn-values.js';

/** Values that no member gave; the turns are kept, so that the caller may try again. */
export class TurnValuesMissingError extends LedgegaugeError {}

/** Reads kept turns at another member. @throws when it does not answer */
export type ReadTurnsAt = (address: string, request: ReadTurnsRequest) => Promise<ReadTurnsAnswer>;

/** Turns asked for in one request: the answer's own limit is in bytes. */
const MAX_REQUESTED_TURNS = 500;
/** An answer takes no more values once it has this many bytes. */
const MAX_ANSWER_BYTES = 512 * 1024;
/** Values read from the disk at the same time: Node's pool has four threads. */
const TURNS_READ_TOGETHER = 8;

export interface TurnHistoriesOptions {
  turns: KeptTurns;
  values: TurnValues;
  readTurnsAt: ReadTurnsAt;
  /** Ids of the turns that an encoded state names. */
  turnsNamedBy: (state: Uint8Array) => string[];
  logger: Logger;
}

export class TurnHistories implements ExternalState {
  constructor(private readonly options: TurnHistoriesOptions) {}

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
   * @param mayTellExpired whether this member's state is late enough to know which turns are over
   */
  async answer({ turns }: ReadTurnsRequest, mayTellExpired: boolean): Promise<ReadTurnsAnswer> {
    const answer: ReadTurnsAnswer = { values: [], expired: [], covered: 0 };
    let bytes = 0;
    while (answer.covered < turns.length && bytes < MAX_ANSWER_BYTES) {
      const group = turns.slice(answer.covered, answer.covered + TURNS_READ_TOGETHER);
      const values = await this.valuesOf(group);
      for (const [index, id] of group.entries()) {
        const value = values[index];
        if (value) answer.values.push([id, value]);
        else if (mayTellExpired && !this.options.turns.has(id)) answer.expired.push(id);
        bytes += value?.length ?? 0;
      }
      answer.covered += group.length;
    }
    return answer;
  }

  async fetchMissing({ state, index }: StoredSnapshot, sources: readonly Member[]): Promise<void> {
    const isMissing = (id: string): boolean => !this.options.values.has(id);
    const wanted = new Set(this.options.turnsNamedBy(state).filter(isMissing));
    if (wanted.size > 0) await this.fetch(wanted, sources, index);
    if (wanted.size > 0) throw missingError(wanted.size);
  }

  private valuesOf(turns: readonly string[]): Promise<(Buffer | undefined)[]> {
    return Promise.all(turns.map((id) => this.options.values.get(id)));
  }

  /** Takes what was fetched, and what is over, out of the set. */
  private async fetch(
    wanted: Set<string>,
    sources: readonly Member[],
    atIndex?: number,
  ): Promise<void> {
    const asked = wanted.size;
    for (const { address } of sources) {
      if (wanted.size === 0) break;
      try {
        await this.fetchFrom(address, wanted, atIndex);
      } catch (error) {
        const cause = describeError(error);
        this.options.logger.warn('kept turns not fetched', { peer: address, cause });
      }
    }
    this.options.logger.info('kept turns fetched', { asked, missing: wanted.size });
  }

  /** One request after the other, each answer written before the next is asked for. */
  private async fetchFrom(address: string, wanted: Set<string>, atIndex?: number): Promise<void> {
    let waiting = [...wanted];
    while (waiting.length > 0) {
      const turns = waiting.slice(0, MAX_REQUESTED_TURNS);
      const answer = await this.options.readTurnsAt(address, { turns, atIndex });
      for (const [id, value] of answer.values) {
        await this.options.values.waitForRoom();
        this.options.values.put(id, Buffer.from(value));
        wanted.delete(id);
      }
      for (const id of answer.expired) wanted.delete(id);
      waiting = waiting.slice(Math.max(1, answer.covered));
    }
  }
}

function missingError(count: number): TurnValuesMissingError {
  return new TurnValuesMissingError(`${count} kept turns are held by no member that answered`, {
    step: 'ledger.read-turns',
    retriable: true,
  });
}
