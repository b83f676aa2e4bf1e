/**
 * How long calls of one service take, as this process has observed it: a part that every call has,
 * the reading of prompt tokens that are not cached, and the events of the answer, which come more slowly
 * the more calls run beside. Which engines there are, and how fast they are, is nowhere written down.
 */
import { DecayingLeastSquares } from './decaying-least-squares.js';

/** What the time of a call follows from. */
export interface CallWork {
  /** Prompt tokens that the back end most likely had to read. */
  missingTokens: number;
  /** Calls that ran there when it was sent. */
  load: number;
  /** Events of the answer. */
  events: number;
}

/** Units in which the regression counts, so that its prior weighs alike on each. */
const TOKENS_UNIT = 1_000;
const EVENTS_UNIT = 10;
const LOAD_UNIT = 10;
/**
 * Milliseconds of a call, of reading 1,000 tokens, of ten events, and of ten events beside ten other
 * calls, before anything was observed: orders of magnitude only, outweighed by a dozen calls.
 */
const PRIOR: readonly number[] = [50, 10, 100, 50];
const PRIOR_SAMPLES = 2;
/** Half of what is known comes from the last hundred calls. */
const RETENTION = 0.993;
/** Back ends with no larger share of their places taken show what calls take when all is calm. */
const CALM_SHARE = 0.25;
/** Calls shorter than this share of a typical one are trusted no more than those of that length. */
const LEAST_TRUSTED_SHARE = 0.1;
/** Share of the newest call in the mean events and the mean time of a call. */
const MEAN_SHARE = 0.05;

export class LatencyModel {
  private readonly regression = createRegression();
  /** Learns from calls at back ends that had little to do. */
  private readonly calmRegression = createRegression();
  private meanEvents: number | undefined;
  private meanMs: number | undefined;
  private meanPromptTokens: number | undefined;

  /** Time to read one prompt token, in milliseconds. */
  get msPerToken(): number {
    return this.regression.coefficients[1]! / TOKENS_UNIT;
  }

  /** Events of a typical answer. */
  get typicalEvents(): number {
    return this.meanEvents ?? 0;
  }

  /** Tokens of a typical prompt, whether read or cached; 0 before the first call. */
  get typicalPromptTokens(): number {
    return this.meanPromptTokens ?? 0;
  }

  /** Time of a typical call, in milliseconds. */
  get typicalMs(): number {
    return this.meanMs ?? PRIOR[0]!;
  }

  /** Takes the prompt of a call that is sent into account. */
  notePrompt(tokens: number): void {
    this.meanPromptTokens = mean(this.meanPromptTokens, tokens);
  }

  /**
   * Takes a call into account that was answered whole.
   * @param places typical calls that fit at once at the back end
   */
  observe(work: CallWork, tookMs: number, places: number): void {
    learn(this.regression, work, tookMs, this.typicalMs);
    if (work.load <= places * CALM_SHARE) {
      learn(this.calmRegression, work, tookMs, this.typicalMs);
    }
    this.meanEvents = mean(this.meanEvents, work.events);
    this.meanMs = mean(this.meanMs, tookMs);
  }

  /** Time that a call takes at a back end of ordinary speed, in milliseconds. */
  predictMs(work: CallWork): number {
    return predict(this.regression, work);
  }

  /** Time that a call would take where nothing else runs, by what calm times have shown. */
  predictUnloadedMs(work: Omit<CallWork, 'load'>): number {
    return predict(this.calmRegression, { ...work, load: 0 });
  }
}

function createRegression(): DecayingLeastSquares {
  return new DecayingLeastSquares({
    prior: PRIOR,
    priorSamples: PRIOR_SAMPLES,
    retention: RETENTION,
  });
}

function predict(regression: DecayingLeastSquares, work: CallWork): number {
  return Math.max(1, regression.predict(inputsOf(work)));
}

/** The time of a call varies in proportion to its length, so that short calls tell more. */
function learn(
  regression: DecayingLeastSquares,
  work: CallWork,
  tookMs: number,
  typicalMs: number,
): void {
  const shortest = typicalMs * LEAST_TRUSTED_SHARE;
  const trust = typicalMs / Math.max(shortest, predict(regression, work));
  regression.add(inputsOf(work), tookMs, trust);
}

/** Calls beside slow the generation of each event down. */
function inputsOf({ missingTokens, load, events }: CallWork): number[] {
  const tens = events / EVENTS_UNIT;
  return [1, missingTokens / TOKENS_UNIT, tens, (tens * load) / LOAD_UNIT];
}

function mean(before: number | undefined, value: number): number {
  return before === undefined ? value : before + (value - before) * MEAN_SHARE;
}
