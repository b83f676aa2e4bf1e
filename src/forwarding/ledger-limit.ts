/**
 * How many turns the ledger bears, as one gateway sees it. Where turns spend much of their time on it, the load is
 * the turns under way at engines and at the ledger, and what is borne is the load at which turns take a little
 * less than callers told. The limit falls at once and rises slowly, so that it doesn't swing. It is read off
 * what all gateways see alike; a limit that each moved up and down by its own turns would drift apart, until
 * some took everything and others nothing.
 */
import { monotonicMs } from '../common/index.js';
import { SmoothedCount } from './smoothed-count.js';
import { ToldTime } from './told-time.js';

/** Below this share of their time on the ledger it is not what makes turns late. */
const LEDGER_BOUND_SHARE = 0.2;
/**
 * Share of the time told that turns should take: programs differ, and end late one by one. This and the
 * numbers below were chosen in the simulation of `overload.test.ts`, by programs in time a second.
 */
const AIMED_SHARE = 0.8;
/** Below this share of the time told turns say nothing about a limit. */
const ONSET_SHARE = 0.73;
/** The limit as a multiple of the load where turns take the onset share, and where they take the aimed one. */
const ONSET_HEADROOM = 1.5;
const AIMED_HEADROOM = 0.65;
/** Turns that ran out of time, or reached no engine, count as taking so many times the time told. */
const MOST_TIME_SHARE = 2;
/** Share of the newest turn in what is known of the latest ones. */
const NEWEST_SHARE = 0.2;
/** What callers told for the turns before the first, which took no time, in milliseconds. */
const FIRST_TOLD_MS = 1_000;
/** The limit falls at once, and doubles in this time at the fastest, in milliseconds. */
const DOUBLING_MS = 3_000;
/** The limit as a share of the engines' places: the most, which engines never reach, and the least. */
const HIGHEST_LIMIT = 4;
const LOWEST_LIMIT = 0.05;

/** The engines of a service, and who sends turns to them. */
export interface ServiceLoad {
  /** Turns under way at engines, and turns that fit there at once. */
  atEngines: number;
  places: number;
  gateways: number;
}

/** What a turn that is over took. */
export interface TurnTimes {
  route: string;
  tookMs: number;
  ledgerMs: number;
  /** What it would have taken on engines with nothing else to do; absent if it reached none. */
  calmMs?: number;
  ranOutOfTime: boolean;
  /** Time that its program had left when it arrived, if it is the program's first, in milliseconds. */
  programMs?: number;
}

export class LedgerLimit {
  /** Load up to which new programs are taken, as a share of the engines' places. */
  private limit = HIGHEST_LIMIT;
  private limitedAt: number;
  private readonly waiting: SmoothedCount;
  private readonly toldTimes = new Map<string, ToldTime>();
  /** The latest turns: what they took, their wait for the ledger, what callers told, in milliseconds. */
  private tookMs = 0;
  private ledgerMs = 0;
  private toldMs = FIRST_TOLD_MS;
  /** The load when they ended. */
  private busyShare = 0;

  /** @param clock monotonic, in milliseconds */
  constructor(private readonly clock: () => number = monotonicMs) {
    this.limitedAt = clock();
    this.waiting = new SmoothedCount(clock);
  }

  /** A turn begins to wait for the ledger. */
  noteAsked(): void {
    this.waiting.add(1);
  }

  /** The ledger has answered a turn, or it waits no more. */
  noteLeft(): void {
    this.waiting.add(-1);
  }

  noteEnd(turn: TurnTimes, load: ServiceLoad): void {
    const { calmMs, ranOutOfTime, programMs, ledgerMs } = turn;
    const told = this.toldTime(turn.route);
    const toldMs = calmMs === undefined ? this.toldMs : calmMs * told.stretch;
    const isLost = ranOutOfTime || calmMs === undefined;
    this.tookMs = latest(this.tookMs, isLost ? toldMs * MOST_TIME_SHARE : turn.tookMs);
    this.toldMs = latest(this.toldMs, toldMs);
    this.ledgerMs = latest(this.ledgerMs, ledgerMs);
    this.busyShare = latest(this.busyShare, this.busyShareOf(load));
    this.adjust();
    if (!isLost) told.note({ calmMs, programMs });
  }

  /** The load as a share of what is borne. */
  loadOf(load: ServiceLoad): number {
    return this.busyShareOf(load) / this.limit;
  }

  private adjust(): void {
    const now = this.clock();
    const highest = Math.min(
      HIGHEST_LIMIT,
      this.limit * 2 ** ((now - this.limitedAt) / DOUBLING_MS),
    );
    this.limitedAt = now;
    this.limit = Math.max(LOWEST_LIMIT, Math.min(highest, this.bearable));
  }

  /** Load at which turns would take the time aimed at. */
  private get bearable(): number {
    const timeShare = this.tookMs / Math.max(1, this.toldMs);
    const isLedgerBound = this.ledgerMs >= this.tookMs * LEDGER_BOUND_SHARE;
    if (!isLedgerBound || timeShare < ONSET_SHARE) return HIGHEST_LIMIT;
    const toAim = Math.min(1, (timeShare - ONSET_SHARE) / (AIMED_SHARE - ONSET_SHARE));
    const headroom = ONSET_HEADROOM + (AIMED_HEADROOM - ONSET_HEADROOM) * toAim;
    return (this.busyShare * headroom) / Math.max(1, timeShare / AIMED_SHARE);
  }

  /**
   * Turns under way, at engines and at the ledger, as a share of the engines' places. How many of
   * other gateways wait for the ledger follows from how long turns wait there (Little's law); what this gateway
   * has waiting there says so sooner, but for one turn, which may be chance.
   */
  private busyShareOf({ atEngines, places, gateways }: ServiceLoad): number {
    if (places === 0) return 0;
    const engineMs = Math.max(1, this.tookMs - this.ledgerMs);
    const atLedger = (atEngines * this.ledgerMs) / engineMs;
    const seenAtLedger = (this.waiting.value - 1) * gateways;
    return (atEngines + Math.max(atLedger, seenAtLedger)) / places;
  }

  private toldTime(route: string): ToldTime {
    let told = this.toldTimes.get(route);
    if (!told) {
      told = new ToldTime(this.clock);
      this.toldTimes.set(route, told);
    }
    return told;
  }
}

function latest(before: number, newest: number): number {
  return before + (newest - before) * NEWEST_SHARE;
}
