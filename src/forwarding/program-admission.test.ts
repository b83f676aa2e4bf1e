/** Which programs are taken under more load than engines can bear: a seeded simulation, no sockets. */
import { describe, expect, it } from 'vitest';
import { sampleCall } from '../../tests/support/sample-call.js';
import { SeededRandom } from '../common/index.js';
import type { Route } from '../routes/index.js';
import type { CallDescription } from './call-exchange.js';
import { ProgramAdmission } from './program-admission.js';

const SERVICE = 'engines';
const TICK_MS = 10;
const ENGINES = 4;
const PLACES = 24;
/** Work of a turn: reading that an engine does one after the other, and generating side by side. */
const READING_MS = 100;
const GENERATING_MS = 300;
/** What each turn beside adds to the time of generating. */
const NEIGHBOUR_SHARE = 0.03;
const TURNS = 4;
const LIMIT_MS = 5_000;
const MOST_SENDS = 3;
const IDLE_MS = TURNS * (READING_MS + GENERATING_MS);
const OBJECTIVE_MS = 2.9 * IDLE_MS;
/** Programs a second that the engines can just read. */
const CAPACITY = (ENGINES * 1_000) / (READING_MS * TURNS);

const ROUTE = { priority: 0 } as Route;

interface Program {
  id: string;
  bornAt: number;
  turnsLeft: number;
  sends: number;
}

interface Turn {
  program: Program;
  sentAt: number;
  readingMs: number;
  generatingMs: number;
}

interface Outcome {
  onTime: number;
  refused: number;
  /** The limit at the end of each second. */
  limits: number[];
}

function callOf(program: Program, now: number): CallDescription {
  const remainingMs = Math.max(0, program.bornAt + OBJECTIVE_MS - now);
  const isFirst = program.turnsLeft === TURNS;
  return sampleCall({
    program: { id: program.id, remainingMs },
    promptParts: [{ id: 'own', tokens: 1 }],
    previousTurn: isFirst ? undefined : 'before',
  });
}

/** Plays programs that arrive at a rate, with or without admission. */
class Simulation {
  readonly outcome: Outcome = { onTime: 0, refused: 0, limits: [] };
  private readonly admission = new ProgramAdmission();
  private readonly engines: Turn[][] = Array.from({ length: ENGINES }, () => []);
  private now = 0;
  private born = 0;

  constructor(
    private readonly random: SeededRandom,
    private readonly isControlled: boolean,
  ) {}

  /** @param rate programs a second */
  play(seconds: number, rate: number): void {
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
    return this.engines.map((engine) => ({ load: engine.length, capacity: PLACES }));
  }

  private arrive(): void {
    const id = `program-${this.born}`;
    this.born += 1;
    const program = { id, bornAt: this.now, turnsLeft: TURNS, sends: 0 };
    const admits = this.admission.admits(
      SERVICE,
      ROUTE.priority,
      callOf(program, this.now),
      this.occupancy,
    );
    if (admits || !this.isControlled) this.send(program);
    else this.outcome.refused += 1;
  }

  private send(program: Program): void {
    program.sends += 1;
    const shortest = Math.min(...this.engines.map((engine) => engine.length));
    const engine = this.engines.find(({ length }) => length === shortest)!;
    engine.push({
      program,
      sentAt: this.now,
      readingMs: READING_MS,
      generatingMs: GENERATING_MS,
    });
  }

  private work(engine: Turn[]): void {
    const reading = engine.filter((turn) => turn.readingMs > 0).length;
    const generatedMs = TICK_MS / (1 + NEIGHBOUR_SHARE * engine.length);
    for (const turn of [...engine]) {
      if (turn.readingMs > 0) turn.readingMs -= TICK_MS / reading;
      else turn.generatingMs -= generatedMs;
      const ranOutOfTime = this.now - turn.sentAt > LIMIT_MS;
      if (turn.generatingMs > 0 && !ranOutOfTime) continue;
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
      if (program.sends < MOST_SENDS) this.send(program);
      return;
    }
    program.sends = 0;
    program.turnsLeft -= 1;
    if (program.turnsLeft > 0) this.send(program);
    else if (this.now <= program.bornAt + OBJECTIVE_MS) this.outcome.onTime += 1;
  }
}

/** Programs that end in time a second, at an offered load in shares of the capacity. */
function goodput(offered: number, isControlled: boolean): number {
  const seconds = 90;
  const simulation = new Simulation(new SeededRandom(1_003), isControlled);
  simulation.play(seconds, offered * CAPACITY);
  return simulation.outcome.onTime / seconds;
}

describe('admission of programs', () => {
  it('refuses nothing while engines keep up', () => {
    const simulation = new Simulation(new SeededRandom(1_001), true);
    simulation.play(60, 0.6 * CAPACITY);
    expect(simulation.outcome.refused).toBe(0);
  });

  it('keeps the goodput up to twice the capacity, where it collapses without', () => {
    const peak = Math.max(...[0.6, 0.8, 1].map((offered) => goodput(offered, true)));
    expect(goodput(1.5, false)).toBeLessThan(0.5 * peak);
    for (const offered of [1.25, 1.5, 2]) {
      expect(goodput(offered, true)).toBeGreaterThan(0.9 * peak);
    }
  });

  it('refuses nothing any more within seconds after a burst', () => {
    const simulation = new Simulation(new SeededRandom(1_002), true);
    simulation.play(15, 2 * CAPACITY);
    expect(simulation.outcome.refused).toBeGreaterThan(30);
    simulation.play(6, 0.4 * CAPACITY);
    const { refused } = simulation.outcome;
    simulation.play(15, 0.4 * CAPACITY);
    expect(simulation.outcome.refused).toBe(refused);
  });

  it('takes or refuses a program alike each time it asks, and never one that has begun', () => {
    const admission = new ProgramAdmission();
    const nearLimit = [{ load: 2.25 * PLACES, capacity: PLACES }];
    const answers = Array.from({ length: 200 }, (_, index) => {
      const call = callOf({ id: `p${index}`, bornAt: 0, turnsLeft: TURNS, sends: 0 }, 0);
      const first = admission.admits(SERVICE, ROUTE.priority, call, nearLimit);
      expect(admission.admits(SERVICE, ROUTE.priority, call, nearLimit)).toBe(first);
      const begun = callOf({ id: `p${index}`, bornAt: 0, turnsLeft: 1, sends: 0 }, 0);
      expect(admission.admits(SERVICE, ROUTE.priority, begun, nearLimit)).toBe(true);
      return first;
    });
    const taken = answers.filter(Boolean).length;
    expect(taken).toBeGreaterThan(60);
    expect(taken).toBeLessThan(140);
  });

  it('refuses programs of the least urgent route first', () => {
    const admission = new ProgramAdmission();
    const urgent = { priority: 0 } as Route;
    const patient = { priority: 1 } as Route;
    const full = [{ load: 1.92 * PLACES, capacity: PLACES }];
    const takenOf = (route: Route): number =>
      Array.from({ length: 200 }, (_, index) => {
        const call = callOf({ id: `p${index}`, bornAt: 0, turnsLeft: TURNS, sends: 0 }, 0);
        return admission.admits(SERVICE, route.priority, call, full);
      }).filter(Boolean).length;
    expect(takenOf(patient)).toBe(200);
    expect(takenOf(urgent)).toBe(200);
    expect(takenOf(patient)).toBeLessThan(100);
  });
});
