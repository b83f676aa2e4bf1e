/**
 * Replays programs on engines with slots and a queue, through the admission classes of all gateways and of the
 * directory's leader, on simulated time.
 */
import { Registry } from 'prom-client';
import { AdmissionLeader, type DemandReport, GatewayAdmission } from '../../src/admission/index.js';
import { SeededRandom } from '../../src/common/index.js';
import type { BackendRegistration } from '../../src/directory/index.js';
import type { CallDescription } from '../../src/forwarding/call-exchange.js';
import { AGING_INTERVAL_MS, OutdatedLoads } from '../../src/forwarding/outdated-loads.js';
import { ProgramAdmission } from '../../src/forwarding/program-admission.js';
import { sampleRegistration } from './directory-samples.js';
import { sampleCall } from './sample-call.js';

export const SERVICE = 'engines';
export const ENGINES = 34;
export const SLOTS = 6;
export const GATEWAYS = 71;
const QUEUE_LIMIT = 18;
const TURN_MS = 200;
const TURN_JITTER = 0.25;
const TOOL_CALL_MS = 30;
const MAX_TRIES = 3;
const TURN_TIMEOUT_MS = 1_300;
const MIN_RETRY_MS = 150;
const LONG_POLL_MS = 200;
/** Tolerated duration of a program on time: a multiple of that on idle engines, and an addition. */
const ON_TIME_FACTOR = 1.3;
const ON_TIME_MS = 350;
export const TURN_COUNTS = [4, 9] as const;
const MEAN_TURNS = (TURN_COUNTS[0] + TURN_COUNTS[1]) / 2;
/** Programs per second that use all slots. */
export const CAPACITY = (ENGINES * SLOTS * 1_000) / (TURN_MS * MEAN_TURNS);
/** Engines of which a gateway selects the least loaded for a turn. */
const ENGINES_DRAWN = 5;

/** Programs of one class and tenant. */
export interface Source {
  priority: number;
  tenant?: string;
  /** Programs per second at a time. */
  rate: (atMs: number) => number;
}

export interface ReplayOptions {
  admission: 'shared' | 'independent';
  sources: Source[];
  seed: number;
  /** Probability that a turn goes to another gateway than the one before. @default 0 */
  moves?: number;
  /** Changes the report of a gateway. */
  falsify?: (gateway: number, report: DemandReport) => DemandReport;
  /** Whether the leader is reachable from a gateway. @default always */
  isConnected?: (gateway: number, atMs: number) => boolean;
  /** Whether an engine runs; calls at engines that do not run fail. @default always */
  isRunning?: (engine: number, atMs: number) => boolean;
  /** When the leader is replaced by one without state, and for how long there is none. */
  leaderLost?: { at: number; forMs: number };
}

export interface ProgramRecord {
  source: number;
  offeredAt: number;
  gateway: number;
  turns: number;
  wasRefused: boolean;
  beganAt?: number;
  endedAt?: number;
  hasFailed: boolean;
}

/** Mean admitted fractions held by the gateways, and the calls in flight, at a time. */
export interface Observation {
  at: number;
  inFlight: number;
  fractions: Map<number, number>;
}

interface Turn {
  run: (wasCompleted: boolean) => void;
  isCancelled: boolean;
}

const ignore = (): void => undefined;
const LOGGER = { debug: ignore, info: ignore, warn: ignore, error: ignore };

class Engine {
  readonly queue: Turn[] = [];
  busy = 0;

  get load(): number {
    return this.busy + this.queue.length;
  }
}

class Gateway {
  readonly own = new ProgramAdmission();
  readonly shared: GatewayAdmission;
  /** Loads of the engines as last reported, and the calls sent since. */
  loads: number[] = Array.from({ length: ENGINES }, () => 0);
  /** This gateway's calls in flight. */
  readonly ownCalls: number[] = Array.from({ length: ENGINES }, () => 0);
  private readonly outdated = new OutdatedLoads();
  private otherCalls: number[] = [];

  constructor(clock: () => number) {
    this.shared = new GatewayAdmission({
      isEnabled: () => true,
      registry: new Registry(),
      logger: LOGGER,
      clock,
    });
  }

  /** @param loads of the engines, including this gateway's */
  takeReport(loads: number[], now: number): void {
    this.loads = loads;
    this.otherCalls = loads.map((load, engine) => Math.max(0, load - this.ownCalls[engine]!));
    this.outdated.noteReport(now);
  }

  /** Without reports, the gateway's own calls that end no longer count, and those of others age. */
  ageLoads(now: number): void {
    const engines = this.otherCalls.map((reportedCalls) => ({ reportedCalls, capacity: SLOTS }));
    const ownCalls = this.ownCalls.reduce((sum, calls) => sum + calls, 0);
    const aged = this.outdated.age(engines, ownCalls, GATEWAYS, now);
    if (aged) this.loads = aged.map((calls, engine) => calls + this.ownCalls[engine]!);
  }
}

export class OverloadReplay {
  readonly programs: ProgramRecord[] = [];
  readonly observations: Observation[] = [];
  private now = 0;
  private readonly timers = new Map<number, (() => void)[]>();
  private readonly random: SeededRandom;
  private readonly engines = Array.from({ length: ENGINES }, () => new Engine());
  private readonly gateways: Gateway[];
  private readonly leader: AdmissionLeader;

  constructor(private readonly options: ReplayOptions) {
    this.random = new SeededRandom(options.seed);
    const clock = (): number => this.now;
    this.gateways = Array.from({ length: GATEWAYS }, () => new Gateway(clock));
    const backends: BackendRegistration[] = this.engines.map((_, index) =>
      sampleRegistration({ id: `e${index}`, service: SERVICE, slots: SLOTS }),
    );
    const isSilent = (id: string): boolean => !this.isRunning(Number(id.slice(1)));
    const leaderOptions = { backends: () => backends, isSilent, clock };
    this.leader = new AdmissionLeader({ ...leaderOptions, logger: LOGGER });
    const { leaderLost } = options;
    if (leaderLost) this.at(leaderLost.at, () => this.leader.clear());
    for (const gateway of this.gateways.keys()) {
      this.at(this.random.integer(1, LONG_POLL_MS), () => this.watch(gateway));
    }
  }

  /** Runs until a time in milliseconds; no program arrives before `fromMs`. */
  run(untilMs: number, fromMs = 1_000): void {
    for (; this.now < untilMs; this.now += 1) {
      for (const run of this.timers.get(this.now) ?? []) run();
      this.timers.delete(this.now);
      if (this.now >= fromMs) this.arrivals();
      if (this.now % 50 === 0) this.observe();
      if (this.now % AGING_INTERVAL_MS === 0) {
        for (const gateway of this.gateways) gateway.ageLoads(this.now);
      }
    }
  }

  private at(time: number, run: () => void): void {
    const tick = Math.max(this.now + 1, Math.round(time));
    const list = this.timers.get(tick);
    if (list) list.push(run);
    else this.timers.set(tick, [run]);
  }

  private arrivals(): void {
    for (const [source, { rate }] of this.options.sources.entries()) {
      if (this.random.chance(rate(this.now) / 1_000)) this.offer(source);
    }
  }

  private offer(source: number): void {
    const program: ProgramRecord = {
      source,
      offeredAt: this.now,
      gateway: this.random.integer(0, GATEWAYS - 1),
      turns: this.random.pick(TURN_COUNTS),
      wasRefused: false,
      hasFailed: false,
    };
    this.programs.push(program);
    this.turn(program, `program-${this.programs.length}`, 0, 1);
  }

  /** Sends a turn through its gateway, up to three times. */
  private turn(program: ProgramRecord, id: string, index: number, tries: number): void {
    if (this.random.chance(this.options.moves ?? 0)) {
      program.gateway = this.random.integer(0, GATEWAYS - 1);
    }
    const gateway = this.gateways[program.gateway]!;
    const { priority, tenant } = this.options.sources[program.source]!;
    const call = callOf(program, id, index);
    const retry = (afterMs: number): void => {
      if (tries === MAX_TRIES) program.hasFailed = true;
      else this.at(this.now + afterMs, () => this.turn(program, id, index, tries + 1));
    };
    const modelCall = { service: SERVICE, priority, tenant, call };
    const refusedForMs = this.refusal(gateway, modelCall);
    if (refusedForMs !== undefined) {
      program.wasRefused = true;
      retry(Math.max(MIN_RETRY_MS, refusedForMs) * (1 + this.random.uniform() / 2));
      return;
    }
    program.beganAt ??= this.now;
    const endTurn = gateway.shared.beginTurn(modelCall);
    const sentAt = this.now;
    this.send(gateway, (wasCompleted) => {
      endTurn();
      // An engine rejects a turn at once; any other turn has been sent.
      if (this.now > sentAt) gateway.shared.noteSent(call);
      const tookMs = this.now - sentAt;
      const turn = { service: SERVICE, call, ranOutOfTime: !wasCompleted, tookMs };
      gateway.own.noteEnd({ ...turn, unloadedMs: TURN_MS }, occupancy(gateway), GATEWAYS);
      if (!wasCompleted) retry(0);
      else if (index + 1 === program.turns) program.endedAt = this.now;
      else this.at(this.now + TOOL_CALL_MS, () => this.turn(program, id, index + 1, 1));
    });
  }

  /** @returns the retry delay of a refused call */
  private refusal(
    gateway: Gateway,
    modelCall: Parameters<GatewayAdmission['decide']>[0],
  ): number | undefined {
    const { service, priority, call } = modelCall;
    const engines = occupancy(gateway);
    const isWithinOwnLimit = gateway.own.admits(service, priority, call, engines);
    const drainMs = gateway.own.drainMs(service, engines, TURN_MS);
    if (this.options.admission === 'independent') return isWithinOwnLimit ? undefined : drainMs;
    const decision = gateway.shared.decide(modelCall, TURN_MS);
    if (!decision.isAdmitted) return decision.retryAfterMs;
    return decision.isFinal || isWithinOwnLimit ? undefined : drainMs;
  }

  /** Sends to the least loaded of some engines, by the loads that the gateway knows. */
  private send({ loads, ownCalls }: Gateway, onEnd: (wasCompleted: boolean) => void): void {
    const known = this.engines.flatMap((_, engine) => (this.isRunning(engine) ? [engine] : []));
    const drawn = Array.from({ length: ENGINES_DRAWN }, () => this.random.pick(known));
    const chosen = drawn.reduce((best, other) => (loads[other]! < loads[best]! ? other : best));
    const engine = this.engines[chosen]!;
    loads[chosen]! += 1;
    if (engine.queue.length >= QUEUE_LIMIT || !this.isRunning(chosen)) {
      onEnd(false);
      return;
    }
    ownCalls[chosen]! += 1;
    const run = (wasCompleted: boolean): void => {
      ownCalls[chosen]! -= 1;
      onEnd(wasCompleted);
    };
    const turn: Turn = { run, isCancelled: false };
    engine.queue.push(turn);
    this.at(this.now + TURN_TIMEOUT_MS, () => this.cancel(turn));
    this.startNext(engine);
  }

  private isRunning(engine: number): boolean {
    return this.options.isRunning?.(engine, this.now) ?? true;
  }

  private cancel(turn: Turn): void {
    if (turn.isCancelled) return;
    turn.isCancelled = true;
    turn.run(false);
  }

  private startNext(engine: Engine): void {
    while (engine.busy < SLOTS) {
      const turn = engine.queue.shift();
      if (!turn) return;
      if (turn.isCancelled) continue;
      engine.busy += 1;
      const durationMs = TURN_MS * (1 + TURN_JITTER * (2 * this.random.uniform() - 1));
      this.at(this.now + durationMs, () => {
        engine.busy -= 1;
        if (!turn.isCancelled) {
          turn.isCancelled = true;
          turn.run(true);
        }
        this.startNext(engine);
      });
    }
  }

  /** One long poll of a gateway: the report arrives at once, the answer after the time of the poll. */
  private watch(index: number): void {
    const gateway = this.gateways[index]!;
    this.at(this.now + LONG_POLL_MS, () => this.watch(index));
    if (!this.reachesLeader(index)) return;
    const report = gateway.shared.demand();
    const name = `g${index}`;
    this.leader.report(name, report && (this.options.falsify?.(index, report) ?? report));
    this.at(this.now + LONG_POLL_MS - 1, () => {
      gateway.takeReport(
        this.engines.map(({ load }) => load),
        this.now,
      );
      if (this.reachesLeader(index)) gateway.shared.apply(this.leader.viewFor(name));
    });
  }

  private reachesLeader(gateway: number): boolean {
    const { leaderLost, isConnected } = this.options;
    const isLeaderless =
      leaderLost !== undefined &&
      this.now >= leaderLost.at &&
      this.now < leaderLost.at + leaderLost.forMs;
    return !isLeaderless && (isConnected?.(gateway, this.now) ?? true);
  }

  private observe(): void {
    const inFlight = this.engines.reduce((sum, engine) => sum + engine.load, 0);
    const fractions = new Map<number, number>();
    for (const priority of new Set(this.options.sources.map((source) => source.priority))) {
      const held = this.gateways.map(({ shared }) => shared.fractionFor(SERVICE, priority));
      fractions.set(priority, held.reduce((sum, fraction) => sum + fraction, 0) / GATEWAYS);
    }
    this.observations.push({ at: this.now, inFlight, fractions });
  }
}

/** Whether a program ended within the time that its caller tolerates. */
export function isOnTime({ offeredAt, endedAt, turns }: ProgramRecord): boolean {
  const idleMs = turns * TURN_MS + (turns - 1) * TOOL_CALL_MS;
  return endedAt !== undefined && endedAt - offeredAt <= idleMs * ON_TIME_FACTOR + ON_TIME_MS;
}

function callOf({ turns }: ProgramRecord, id: string, index: number): CallDescription {
  return sampleCall({
    program: { id, session: 's', remainingMs: turns * TURN_MS },
    promptParts: [{ id: 'own', tokens: 1 }],
    previousTurn: index === 0 ? undefined : `${index}`,
  });
}

function occupancy({ loads }: Gateway): { load: number; capacity: number }[] {
  return loads.map((load) => ({ load, capacity: SLOTS }));
}
