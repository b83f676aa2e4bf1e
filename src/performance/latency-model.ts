/**
 * Latency model of one service, learned from the calls of this process: a constant, the prefill of
 * uncached prompt tokens, and the events of the response, which slow down with the number of
 * concurrent calls. No engine speeds are configured.
 */
import { movingAverage } from '../common/index.js';
import { DecayingLeastSquares } from './decaying-least-squares.js';

/** The inputs that determine the latency of a call. */
export interface CallWork {
  /** Prompt tokens that the backend probably did not have cached. */
  missingTokens: number;
  /** Concurrent calls at the backend when the call was sent. */
  load: number;
  /** Events in the response. */
  events: number;
}

/** Scales of the regression inputs, so that the prior has similar weight on each. */
const TOKENS_UNIT = 1_000;
const EVENTS_UNIT = 10;
const LOAD_UNIT = 10;
/**
 * Initial coefficients: milliseconds per call, per 1,000 tokens, per 10 events, and per 10 events with 10
 * concurrent calls. Orders of magnitude only: a dozen observed calls outweigh them.
 */
const PRIOR: readonly number[] = [50, 10, 100, 50];
const PRIOR_SAMPLES = 2;
/** Half of the total weight lies on the last 100 calls. */
const RETENTION = 0.993;
/** Maximum utilization at which a backend counts as unloaded. */
const UNLOADED_UTILIZATION = 0.25;
/** Lower bound of the predicted latency when weighting samples, as a fraction of the typical latency. */
const MINIMUM_LATENCY_FRACTION = 0.1;
/** Weight of the newest call in the moving averages. */
const MEAN_WEIGHT = 0.05;

export class LatencyModel {
  private readonly regression = createRegression();
  /** Learns only from calls at unloaded backends. */
  private readonly unloadedRegression = createRegression();
  private meanEvents: number | undefined;
  private meanMs: number | undefined;
  private meanPromptTokens: number | undefined;

  /** Prefill time per prompt token, in milliseconds. */
  get msPerToken(): number {
    return this.regression.coefficients[1]! / TOKENS_UNIT;
  }

  /** Mean number of events per response. */
  get typicalEvents(): number {
    return this.meanEvents ?? 0;
  }

  /** Mean number of prompt tokens, cached or not; 0 before the first call. */
  get typicalPromptTokens(): number {
    return this.meanPromptTokens ?? 0;
  }

  /** Mean latency, in milliseconds. */
  get typicalMs(): number {
    return this.meanMs ?? PRIOR[0]!;
  }

  /** Records the prompt length of a call that is sent. */
  notePrompt(tokens: number): void {
    this.meanPromptTokens = movingAverage(this.meanPromptTokens, tokens, MEAN_WEIGHT);
  }

  /**
   * Records the latency of a call with a complete response.
   * @param capacity typical calls that the backend can process at once
   */
  observe(work: CallWork, tookMs: number, capacity: number): void {
    learn(this.regression, work, tookMs, this.typicalMs);
    if (work.load <= capacity * UNLOADED_UTILIZATION) {
      learn(this.unloadedRegression, work, tookMs, this.typicalMs);
    }
    this.meanEvents = movingAverage(this.meanEvents, work.events, MEAN_WEIGHT);
    this.meanMs = movingAverage(this.meanMs, tookMs, MEAN_WEIGHT);
  }

  /** Predicted latency on a backend of normal speed, in milliseconds. */
  predictMs(work: CallWork): number {
    return predict(this.regression, work);
  }

  /** Predicted latency on an unloaded backend, in milliseconds. */
  predictUnloadedMs(work: Omit<CallWork, 'load'>): number {
    return predict(this.unloadedRegression, { ...work, load: 0 });
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

/** The variance of the latency grows with its length, so that short calls get more weight. */
function learn(
  regression: DecayingLeastSquares,
  work: CallWork,
  tookMs: number,
  typicalMs: number,
): void {
  const minimumMs = typicalMs * MINIMUM_LATENCY_FRACTION;
  const trust = typicalMs / Math.max(minimumMs, predict(regression, work));
  regression.add(inputsOf(work), tookMs, trust);
}

/** The last input models the slowdown of each event by concurrent calls. */
function inputsOf({ missingTokens, load, events }: CallWork): number[] {
  const scaledEvents = events / EVENTS_UNIT;
  return [1, missingTokens / TOKENS_UNIT, scaledEvents, (scaledEvents * load) / LOAD_UNIT];
}
