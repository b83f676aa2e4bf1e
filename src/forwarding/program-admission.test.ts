/** Simulation of program admission under overload. */
import { describe, expect, it } from 'vitest';
import { sampleCall } from '../../tests/support/sample-call.js';
import { SeededRandom } from '../common/index.js';
import type { Route } from '../routes/index.js';
import type { CallDescription } from './call-exchange.js';
import { type EndedTurn, ProgramAdmission } from './program-admission.js';

const SERVICE = 'engines';
const TICK_MS = 10;
const ENGINES = 4;
const SLOTS = 24;
/** Work of a turn: prefill, which an engine shares between turns, and concurrent generation. */
const PREFILL_MS = 100;
const GENERATION_MS = 300;
/** Relative slowdown of generation per concurrent turn. */
const SLOWDOWN_PER_TURN = 0.03;
const TURNS = 4;
const TURN_TIMEOUT_MS = 5_000;
const MAX_SENDS = 3;
const IDLE_MS = TURNS * (PREFILL_MS + GENERATION_MS);
const OBJECTIVE_MS = 2.9 * IDLE_MS;
/** Maximum number of programs per second, limited by prefill. */
const CAPACITY = (ENGINES * 1_000) / (PREFILL_MS * TURNS);

const ROUTE = { priority: 0 } as Route;

interface Program {
  id: string;
  startedAt: number;
  turnsLeft: number;
  sends: number;
}

interface Turn {
  program: Program;
  sentAt: number;
  prefillMs: number;
  generationMs: number;
}

interface Outcome {
  onTime: number;
  refused: number;
  /** The limit at the end of each second. */
  limits: number[];
}

function callOf(program: Program, now: number): CallDescription {
  const remainingMs = Math.max(0, program.startedAt + OBJECTIVE_MS - now);
  const isFirst = program.turnsLeft === TURNS;
  return sampleCall({
    program: { id: program.id, remainingMs },
    promptParts: [{ id: 'own', tokens: 1 }],
    previousTurn: isFirst ? undefined : 'before',
  });
}

/** Simulates programs that arrive at a rate, with or without admission control. */
class Simulation {
  readonly outcome: Outcome = { onTime: 0, refused: 0, limits: [] };
  private readonly admission = new ProgramAdmission();
  private readonly engines: Turn[][] = Array.from({ length: ENGINES }, () => []);
  private now = 0;
  private programCount = 0;

  constructor(
    private readonly random: SeededRandom,
    private readonly hasAdmission: boolean,
  ) {}

  /** @param rate programs per second */
  run(seconds: number, rate: number): void {
    const end = this.now + seconds * 1_000;
    for (; this.now < end; this.now += TICK_MS) {
      if (this.random.chance((rate * TICK_MS) / 1_000)) this.arrive();
      for (const engine of this.engines) this.work(engine);
      if (this.now % 1_000 === 0) {
        this.outcome.limits.push(this.admission.limitOf(SERVICE));
      }
    }
  }

  private get occupancy(): { load: number; capacity: number }[] {
    return this.engines.map((engine) => ({ load: engine.length, capacity: SLOTS }));
  }

  private arrive(): void {
    const id = `program-${this.programCount}`;
    this.programCount += 1;
    const program = { id, startedAt: this.now, turnsLeft: TURNS, sends: 0 };
    const admits = this.admission.admits(
      SERVICE,
      ROUTE.priority,
      callOf(program, this.now),
      this.occupancy,
    );
    if (admits || !this.hasAdmission) this.send(program);
    else this.outcome.refused += 1;
  }

  private send(program: Program): void {
    program.sends += 1;
    const shortest = Math.min(...this.engines.map((engine) => engine.length));
    const engine = this.engines.find(({ length }) => length === shortest)!;
    engine.push({
      program,
      sentAt: this.now,
      prefillMs: PREFILL_MS,
      generationMs: GENERATION_MS,
    });
  }

  private work(engine: Turn[]): void {
    const prefilling = engine.filter((turn) => turn.prefillMs > 0).length;
    const generatedMs = TICK_MS / (1 + SLOWDOWN_PER_TURN * engine.length);
    for (const turn of [...engine]) {
      if (turn.prefillMs > 0) turn.prefillMs -= TICK_MS / prefilling;
      else turn.generationMs -= generatedMs;
      const ranOutOfTime = this.now - turn.sentAt > TURN_TIMEOUT_MS;
      if (turn.generationMs > 0 && !ranOutOfTime) continue;
      engine.splice(engine.indexOf(turn), 1);
      this.end(turn, ranOutOfTime);
    }
  }

  private end({ program, sentAt }: Turn, ranOutOfTime: boolean): void {
    const tookMs = this.now - sentAt;
    const call = callOf(program, this.now);
    const turn = { service: SERVICE, call, ranOutOfTime, tookMs, unloadedMs: IDLE_MS / TURNS };
    this.admission.noteEnd(turn, this.occupancy, 1);
    if (ranOutOfTime) {
      if (program.sends < MAX_SENDS) this.send(program);
      return;
    }
    program.sends = 0;
    program.turnsLeft -= 1;
    if (program.turnsLeft > 0) this.send(program);
    else if (this.now <= program.startedAt + OBJECTIVE_MS) this.outcome.onTime += 1;
  }
}

/** Programs per second that finish in time. @param offered load as a fraction of the capacity */
function goodput(offered: number, hasAdmission: boolean): number {
  const seconds = 90;
  const simulation = new Simulation(new SeededRandom(1_003), hasAdmission);
  simulation.run(seconds, offered * CAPACITY);
  return simulation.outcome.onTime / seconds;
}

describe('program admission', () => {
  it('refuses nothing while engines keep up', () => {
    const simulation = new Simulation(new SeededRandom(1_001), true);
    simulation.run(60, 0.6 * CAPACITY);
    expect(simulation.outcome.refused).toBe(0);
  });

  it('maintains the goodput at up to twice the capacity, unlike without admission control', () => {
    const peak = Math.max(...[0.6, 0.8, 1].map((offered) => goodput(offered, true)));
    expect(goodput(1.5, false)).toBeLessThan(0.5 * peak);
    for (const offered of [1.25, 1.5, 2]) {
      expect(goodput(offered, true)).toBeGreaterThan(0.9 * peak);
    }
  });

  it('stops refusing within seconds after a burst', () => {
    const simulation = new Simulation(new SeededRandom(1_002), true);
    simulation.run(15, 2 * CAPACITY);
    expect(simulation.outcome.refused).toBeGreaterThan(30);
    simulation.run(6, 0.4 * CAPACITY);
    const { refused } = simulation.outcome;
    simulation.run(15, 0.4 * CAPACITY);
    expect(simulation.outcome.refused).toBe(refused);
  });

  it('decides consistently for a program and never refuses a running one', () => {
    const admission = new ProgramAdmission();
    const nearLimit = [{ load: 2.25 * SLOTS, capacity: SLOTS }];
    const answers = Array.from({ length: 200 }, (_, index) => {
      const call = callOf({ id: `p${index}`, startedAt: 0, turnsLeft: TURNS, sends: 0 }, 0);
      const first = admission.admits(SERVICE, ROUTE.priority, call, nearLimit);
      expect(admission.admits(SERVICE, ROUTE.priority, call, nearLimit)).toBe(first);
      const begun = callOf({ id: `p${index}`, startedAt: 0, turnsLeft: 1, sends: 0 }, 0);
      expect(admission.admits(SERVICE, ROUTE.priority, begun, nearLimit)).toBe(true);
      return first;
    });
    const admitted = answers.filter(Boolean).length;
    expect(admitted).toBeGreaterThan(60);
    expect(admitted).toBeLessThan(140);
  });

  it('never refuses a call that resumes the stream of a first turn', () => {
    const admission = new ProgramAdmission();
    const overLimit = [{ load: 10 * SLOTS, capacity: SLOTS }];
    const first = callOf({ id: 'p', startedAt: 0, turnsLeft: TURNS, sends: 0 }, 0);
    const admits = (call: CallDescription): boolean =>
      admission.admits(SERVICE, ROUTE.priority, call, overLimit);
    expect(admits(first)).toBe(false);
    expect(admits({ ...first, lastEventId: '2' })).toBe(true);
    expect(admits({ ...first, lastEventId: '2', resumedAttempt: 'a' })).toBe(true);
  });

  describe('a turn whose caller interfered', () => {
    const limitAfter = (turn: Partial<EndedTurn>): number => {
      const admission = new ProgramAdmission();
      const call = callOf({ id: 'p', startedAt: 0, turnsLeft: TURNS, sends: 0 }, 0);
      const busy = [{ load: 1.5 * SLOTS, capacity: SLOTS }];
      admission.admits(SERVICE, ROUTE.priority, call, busy);
      const base = { service: SERVICE, call, ranOutOfTime: false, tookMs: 0, unloadedMs: 100 };
      const ended = { ...base, ...turn };
      for (let count = 0; count < 12; count += 1) admission.noteEnd(ended, busy, 1);
      return admission.limitOf(SERVICE);
    };
    const highest = limitAfter({ tookMs: 10 });

    it('says nothing if its caller left early', () => {
      expect(limitAfter({ tookMs: 150, interference: 'left-early' })).toBe(highest);
    });

    it('shows overload if it took too long before its caller left', () => {
      const complete = limitAfter({ tookMs: 400 });
      expect(complete).toBeLessThan(highest);
      expect(limitAfter({ tookMs: 400, interference: 'left-early' })).toBe(complete);
    });

    it('says nothing if its caller read slowly, even if it ran out of time', () => {
      const readSlowly = { tookMs: 400, interference: 'read-slowly' as const };
      expect(limitAfter(readSlowly)).toBe(highest);
      expect(limitAfter({ ...readSlowly, ranOutOfTime: true })).toBe(highest);
    });
  });

  it('refuses programs of less urgent routes first', () => {
    const admission = new ProgramAdmission();
    const urgent = { priority: 0 } as Route;
    const lessUrgent = { priority: 1 } as Route;
    const full = [{ load: 1.92 * SLOTS, capacity: SLOTS }];
    const admittedOf = (route: Route): number =>
      Array.from({ length: 200 }, (_, index) => {
        const call = callOf({ id: `p${index}`, startedAt: 0, turnsLeft: TURNS, sends: 0 }, 0);
        return admission.admits(SERVICE, route.priority, call, full);
      }).filter(Boolean).length;
    expect(admittedOf(lessUrgent)).toBe(200);
    expect(admittedOf(urgent)).toBe(200);
    expect(admittedOf(lessUrgent)).toBeLessThan(100);
  });
});
