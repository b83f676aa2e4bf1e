/** What is learnt of back ends from the times of calls. */
import { describe, expect, it } from 'vitest';
import { SeededRandom } from '../common/index.js';
import { DecayingLeastSquares } from './decaying-least-squares.js';
import { SlowdownEstimator } from './slowdown-estimator.js';
import { type CallWork, LatencyModel } from './latency-model.js';

/** An engine as the tests know it; its calls vary around these figures. */
interface TrueEngine {
  tokensPerMs: number;
  eventMs: number;
  neighbourShare: number;
}

const SPREAD = 0.3;
const PLACES = 16;

function drawWork(random: SeededRandom): CallWork {
  const isCold = random.chance(0.3);
  return {
    missingTokens: isCold ? random.integer(2_000, 14_000) : random.integer(200, 1_500),
    load: random.integer(0, 15),
    events: random.integer(1, 30),
  };
}

function timeOf(engine: TrueEngine, { missingTokens, load, events }: CallWork): number {
  const eventMs = engine.eventMs * (1 + load * engine.neighbourShare);
  return 10 + missingTokens / engine.tokensPerMs + events * eventMs;
}

function teach(model: LatencyModel, engine: TrueEngine, calls: number, random: SeededRandom): void {
  for (let call = 0; call < calls; call += 1) {
    const work = drawWork(random);
    const noise = 1 + SPREAD * (2 * random.uniform() - 1);
    model.observe(work, timeOf(engine, work) * noise, PLACES);
  }
}

/** Mean relative error of predictions. */
function errorOf(model: LatencyModel, engine: TrueEngine, random: SeededRandom): number {
  const samples = 200;
  let sum = 0;
  for (let sample = 0; sample < samples; sample += 1) {
    const work = drawWork(random);
    const truth = timeOf(engine, work);
    sum += Math.abs(model.predictMs(work) - truth) / truth;
  }
  return sum / samples;
}

const ENGINES: TrueEngine[] = [
  { tokensPerMs: 10, eventMs: 60, neighbourShare: 0.02 },
  { tokensPerMs: 40, eventMs: 15, neighbourShare: 0.03 },
  { tokensPerMs: 270, eventMs: 30, neighbourShare: 0.05 },
  { tokensPerMs: 1_000, eventMs: 4, neighbourShare: 0.01 },
];

describe('the model of a service', () => {
  it.each(ENGINES)('predicts an engine of $tokensPerMs tokens a ms after 100 calls', (engine) => {
    const random = new SeededRandom(71);
    const model = new LatencyModel();
    teach(model, engine, 100, random);
    expect(errorOf(model, engine, random)).toBeLessThan(0.2);
  });

  it('learns how fast prompts are read, from 10 to 1,000 tokens a millisecond', () => {
    for (const engine of ENGINES.slice(0, 3)) {
      const model = new LatencyModel();
      teach(model, engine, 300, new SeededRandom(72));
      const ratio = model.msPerToken * engine.tokensPerMs;
      expect(ratio).toBeGreaterThan(0.6);
      expect(ratio).toBeLessThan(1.6);
    }
  });

  it('follows a change of all engines within 200 calls', () => {
    const random = new SeededRandom(73);
    const model = new LatencyModel();
    teach(model, ENGINES[2]!, 500, random);
    teach(model, ENGINES[1]!, 200, random);
    expect(errorOf(model, ENGINES[1]!, random)).toBeLessThan(0.45);
    teach(model, ENGINES[1]!, 300, random);
    expect(errorOf(model, ENGINES[1]!, random)).toBeLessThan(0.25);
  });

  it('is not led astray by one call in twenty that takes twenty times as long', () => {
    const random = new SeededRandom(74);
    const model = new LatencyModel();
    for (let round = 0; round < 30; round += 1) {
      teach(model, ENGINES[1]!, 19, random);
      const work = drawWork(random);
      model.observe(work, timeOf(ENGINES[1]!, work) * 20, PLACES);
    }
    expect(errorOf(model, ENGINES[1]!, random)).toBeLessThan(0.35);
  });

  it('remembers what calls take on idle engines while all are overloaded', () => {
    const random = new SeededRandom(77);
    const engine = ENGINES[1]!;
    const model = new LatencyModel();
    teach(model, engine, 200, random);
    const work = { missingTokens: 800, events: 10 };
    const calm = timeOf(engine, { ...work, load: 0 });
    for (let call = 0; call < 500; call += 1) {
      const overloaded = { ...drawWork(random), load: random.integer(20, 40) };
      model.observe(overloaded, 5 * timeOf(engine, overloaded), PLACES);
    }
    expect(model.predictUnloadedMs(work) / calm).toBeGreaterThan(0.7);
    expect(model.predictUnloadedMs(work) / calm).toBeLessThan(1.4);
  });

  it('predicts something for calls of plain services, which have neither prompts nor events', () => {
    const model = new LatencyModel();
    for (let call = 0; call < 60; call += 1) {
      model.observe({ missingTokens: 0, load: call % 4, events: 0 }, 80 + (call % 9), PLACES);
    }
    expect(model.predictMs({ missingTokens: 0, load: 2, events: 0 })).toBeCloseTo(84, -1);
    expect(model.typicalMs).toBeCloseTo(84, -1);
  });
});

describe('regression', () => {
  it('gives no negative slope', () => {
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

describe('pace of a back end', () => {
  const EXPECTED_MS = 200;

  function paceAfter(ratios: readonly number[], clock = (): number => 0): SlowdownEstimator {
    const pace = new SlowdownEstimator(clock);
    for (const ratio of ratios) pace.note(EXPECTED_MS * ratio, EXPECTED_MS);
    return pace;
  }

  it('sees within ten calls that a back end has become five times slower', () => {
    const random = new SeededRandom(75);
    const usual = Array.from({ length: 50 }, () => 0.7 + 0.6 * random.uniform());
    const slow = Array.from({ length: 10 }, () => 5 * (0.7 + 0.6 * random.uniform()));
    expect(paceAfter(usual).factor).toBeLessThan(1.3);
    expect(paceAfter([...usual, ...slow]).factor).toBeGreaterThan(1.8);
  });

  it('takes the spread of single calls for what it is', () => {
    const random = new SeededRandom(76);
    let wrong = 0;
    for (let backend = 0; backend < 100; backend += 1) {
      const ratios = Array.from({ length: 40 }, () => Math.exp(1.4 * random.uniform() - 0.7));
      const { factor } = paceAfter(ratios);
      if (factor > 1.25 || factor < 0.8) wrong += 1;
    }
    expect(wrong).toBeLessThan(5);
  });

  it('forgets without calls, so that a back end that recovered is tried again', () => {
    let now = 0;
    const pace = paceAfter(new Array<number>(40).fill(5), () => now);
    expect(pace.factor).toBeGreaterThan(3);
    now = 20_000;
    expect(pace.factor).toBeLessThan(1.2);
  });
});
