/**
 * How many times longer than on engines with nothing else to do the turns of a route may take, as its
 * callers told: the time that programs have at their first turns, against the idle time of all turns that
 * programs take. Pauses between turns count as time of turns, which keeps a margin.
 */
import { monotonicMs } from '../common/index.js';

/** Before much was told, turns may take so many times as long. */
const FIRST_STRETCH = 1.85;
/** The prior weighs as much as this idle time, in milliseconds: that of some forty programs. */
const PRIOR_CALM_MS = 60_000;
/** More is never borne: engines that do so many turns at once do none of them well. */
const MOST_STRETCH = 3;
/** Less can't be kept on engines that do more than one turn at once. */
const LEAST_STRETCH = 1.1;
/** Half of what is known comes from the last 140 turns. */
const RETENTION = 0.995;
/**
 * A program's time counts once this share of it is over, when about half of its turns are: first turns come
 * before the others, and would tell too much where traffic begins.
 */
const HALFWAY_SHARE = 0.4;

/** A turn that was answered. */
export interface AnsweredTurn {
  /** What it would have taken on engines with nothing else to do, in milliseconds. */
  calmMs: number;
  /** Time that its program had left when it arrived, if it is the program's first, in milliseconds. */
  programMs?: number;
}

/** A program's time that is not counted yet. */
interface BegunProgram {
  programMs: number;
  countsAt: number;
}

export class ToldTime {
  private calmMs = 0;
  private toldMs = 0;
  /** Oldest first. */
  private readonly begun: BegunProgram[] = [];

  /** @param clock monotonic, in milliseconds */
  constructor(private readonly clock: () => number = monotonicMs) {}

  note({ calmMs, programMs }: AnsweredTurn): void {
    const now = this.clock();
    if (programMs !== undefined) {
      this.begun.push({ programMs, countsAt: now + programMs * HALFWAY_SHARE });
    }
    this.calmMs = this.calmMs * RETENTION + calmMs;
    this.toldMs = this.toldMs * RETENTION;
    while (this.begun.length > 0 && this.begun[0]!.countsAt <= now) {
      this.toldMs += this.begun.shift()!.programMs;
    }
  }

  get stretch(): number {
    const told = this.toldMs + FIRST_STRETCH * PRIOR_CALM_MS;
    const stretch = told / (this.calmMs + PRIOR_CALM_MS);
    return Math.min(MOST_STRETCH, Math.max(LEAST_STRETCH, stretch));
  }
}
