/** Latency models and slowdown estimates learned from synthetic calls. */
import { describe, expect, it } from 'vitest';
import { SeededRandom } from '../common/index.js';
import { DecayingLeastSquares } from './decaying-least-squares.js';
import { SlowdownEstimator } from './slowdown-estimator.js';
import { type CallWork, LatencyModel } from './latency-model.js';

/** Ground truth of a simulated engine. */
interface SimulatedEngine {
  tokensPerMs: number;
  eventMs: number;
  slowdownPerCall: number;
}

const NOISE = 0.3;
const CAPACITY = 16;

function drawWork(random: SeededRandom): CallWork {
  const isCold = random.chance(0.3);
  return {
    missingTokens: isCold ? random.integer(2_000, 14_000) : random.integer(200, 1_500),
    load: random.integer(0, 15),
    events: random.integer(1, 30),
  };
}

function latencyOf(engine: SimulatedEngine, { missingTokens, load, events }: CallWork): number {
  const eventMs = engine.eventMs * (1 + load * engine.slowdownPerCall);
  return 10 + missingTokens / engine.tokensPerMs + events * eventMs;
}

function train(
  model: LatencyModel,
  engine: SimulatedEngine,
  calls: number,
  random: SeededRandom,
): void {
  for (let call = 0; call < calls; call += 1) {
    const work = drawWork(random);
    const noise = 1 + NOISE * (2 * random.uniform() - 1);
    model.observe(work, latencyOf(engine, work) * noise, CAPACITY);
  }
}

/** Mean relative prediction error. */
function meanError(model: LatencyModel, engine: SimulatedEngine, random: SeededRandom): number {
  const samples = 200;
  let sum = 0;
  for (let sample = 0; sample < samples; sample += 1) {
    const work = drawWork(random);
    const truth = latencyOf(engine, work);
    sum += Math.abs(model.predictMs(work) - truth) / truth;
  }
  return sum / samples;
}

const ENGINES: SimulatedEngine[] = [
  { tokensPerMs: 10, eventMs: 60, slowdownPerCall: 0.02 },
  { tokensPerMs: 40, eventMs: 15, slowdownPerCall: 0.03 },
  { tokensPerMs: 270, eventMs: 30, slowdownPerCall: 0.05 },
  { tokensPerMs: 1_000, eventMs: 4, slowdownPerCall: 0.01 },
];

describe('latency model', () => {
  it.each(ENGINES)(
    'predicts an engine with $tokensPerMs tokens per ms after 100 calls',
    (engine) => {
      const random = new SeededRandom(71);
      const model = new LatencyModel();
      train(model, engine, 100, random);
      expect(meanError(model, engine, random)).toBeLessThan(0.2);
    },
  );

  it('learns the prefill speed of engines of different speeds', () => {
    for (const engine of ENGINES.slice(0, 3)) {
      const model = new LatencyModel();
      train(model, engine, 300, new SeededRandom(72));
      const ratio = model.msPerToken * engine.tokensPerMs;
      expect(ratio).toBeGreaterThan(0.6);
      expect(ratio).toBeLessThan(1.6);
    }
  });

  it('adapts to a change of all engines within 200 calls', () => {
    const random = new SeededRandom(73);
    const model = new LatencyModel();
    train(model, ENGINES[2]!, 500, random);
    train(model, ENGINES[1]!, 200, random);
    expect(meanError(model, ENGINES[1]!, random)).toBeLessThan(0.45);
    train(model, ENGINES[1]!, 300, random);
    expect(meanError(model, ENGINES[1]!, random)).toBeLessThan(0.25);
  });

  it('is robust against 5 % of outliers that take 20 times as long', () => {
    const random = new SeededRandom(74);
    const model = new LatencyModel();
    for (let round = 0; round < 30; round += 1) {
      train(model, ENGINES[1]!, 19, random);
      const work = drawWork(random);
      model.observe(work, latencyOf(ENGINES[1]!, work) * 20, CAPACITY);
    }
    expect(meanError(model, ENGINES[1]!, random)).toBeLessThan(0.35);
  });

  it('retains the unloaded latency while all engines are overloaded', () => {
    const random = new SeededRandom(77);
    const engine = ENGINES[1]!;
    const model = new LatencyModel();
    train(model, engine, 200, random);
    const work = { missingTokens: 800, events: 10 };
    const unloaded = latencyOf(engine, { ...work, load: 0 });
    for (let call = 0; call < 500; call += 1) {
      const overloaded = { ...drawWork(random), load: random.integer(20, 40) };
      model.observe(overloaded, 5 * latencyOf(engine, overloaded), CAPACITY);
    }
    expect(model.predictUnloadedMs(work) / unloaded).toBeGreaterThan(0.7);
    expect(model.predictUnloadedMs(work) / unloaded).toBeLessThan(1.4);
  });

  it('predicts the latency of services without prompts and events', () => {
    const model = new LatencyModel();
    for (let call = 0; call < 60; call += 1) {
      model.observe({ missingTokens: 0, load: call % 4, events: 0 }, 80 + (call % 9), CAPACITY);
    }
    expect(model.predictMs({ missingTokens: 0, load: 2, events: 0 })).toBeCloseTo(84, -1);
    expect(model.typicalMs).toBeCloseTo(84, -1);
  });
});

describe('least squares', () => {
  it('yields no negative slope', () => {
    const regression = new DecayingLeastSquares({
      prior: [50, 0],
      priorSamples: 1,
      retention: 0.99,
    });
    for (let sample = 0; sample < 40; sample += 1)
      regression.add([1, sample % 5], 50 - 3 * (sample % 5));
    expect(regression.coefficients[1]).toBe(0);
    expect(regression.predict([1, 3])).toBeCloseTo(44, -1);
  });
});

describe('slowdown estimator', () => {
  const EXPECTED_MS = 200;

  function estimatorAfter(ratios: readonly number[], clock = (): number => 0): SlowdownEstimator {
    const estimator = new SlowdownEstimator(clock);
    for (const ratio of ratios) estimator.note(EXPECTED_MS * ratio, EXPECTED_MS);
    return estimator;
  }

  it('detects a fivefold slowdown within ten calls', () => {
    const random = new SeededRandom(75);
    const normal = Array.from({ length: 50 }, () => 0.7 + 0.6 * random.uniform());
    const slow = Array.from({ length: 10 }, () => 5 * (0.7 + 0.6 * random.uniform()));
    expect(estimatorAfter(normal).factor).toBeLessThan(1.3);
    expect(estimatorAfter([...normal, ...slow]).factor).toBeGreaterThan(1.8);
  });

  it('does not mistake the variance of single calls for a slowdown', () => {
    const random = new SeededRandom(76);
    let falsePositives = 0;
    for (let backend = 0; backend < 100; backend += 1) {
      const ratios = Array.from({ length: 40 }, () => Math.exp(1.4 * random.uniform() - 0.7));
      const { factor } = estimatorAfter(ratios);
      if (factor > 1.25 || factor < 0.8) falsePositives += 1;
    }
    expect(falsePositives).toBeLessThan(5);
  });

  it('decays without calls, so that a recovered backend is used again', () => {
    let now = 0;
    const estimator = estimatorAfter(new Array<number>(40).fill(5), () => now);
    expect(estimator.factor).toBeGreaterThan(3);
    now = 20_000;
    expect(estimator.factor).toBeLessThan(1.2);
  });
});
