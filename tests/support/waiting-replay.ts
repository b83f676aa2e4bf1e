/**
 * Replays an overload of small engines behind many gateways, with the real queue, limit, placement and exchange of load
 * figures. Only the engines, the callers and the network are simulated; time is vitest's fake time.
 */
import { Registry } from 'prom-client';
import { vi } from 'vitest';
import { SeededRandom } from '../../src/common/index.js';
import type { BackendRecord } from '../../src/directory/index.js';
import { LoadReportStore } from '../../src/directory/load-board.js';
import { loadsOfOtherGateways } from '../../src/directory/load-totals.js';
import { type BackendState, BackendView } from '../../src/forwarding/backend-view.js';
import { Placement } from '../../src/forwarding/index.js';
import { SILENT_LOGGER } from '../../lab/silent-logger.js';
import { PermitGate, WaitingMetrics, WaitingReportStore } from '../../src/waiting/index.js';
import { sampleCall } from './sample-call.js';

const SERVICE = 'engines';
const GATEWAYS = 70;
const ENGINES = 34;
const ZONES = 3;
const SLOTS = 6;
/** Calls that an engine queues beyond its slots. */
const ENGINE_QUEUE = 18;
const TURN_MS = 200;
/** Time until a caller cuts off its turn. */
export const PATIENCE_MS = 1_300;
const DEFAULT_WATCH_INTERVAL_MS = 150;
const SNAPSHOT_TTL_MS = 50;
const MAX_ATTEMPTS = 3;
/** Turns per second that the engines can process. */
export const CAPACITY_PER_SECOND = (ENGINES * SLOTS * 1_000) / TURN_MS;

export interface ReplayTurn {
  gateway: number;
  priority: number;
  tenant: string;
  hasBegun?: boolean;
  /** Arrival, in milliseconds since the start of the replay. */
  offsetMs: number;
  /** The same on the monotonic clock. */
  arrivedAt: number;
  outcome: 'pending' | 'in-time' | 'cut-off' | 'refused';
  /** When it was sent or refused. */
  decidedAt?: number;
  sentTo?: BackendState;
}

export interface ReplayOptions {
  /** Whether calls wait in the gateways; otherwise they queue in the engines. */
  isOrdered: boolean;
  /** Offered load as a fraction of the engines' capacity. */
  loadAt: (now: number) => number;
  durationMs: number;
  /** Draws the priority and the tenant of a turn. */
  draw?: (random: SeededRandom) => Pick<ReplayTurn, 'priority' | 'tenant' | 'hasBegun'>;
  /** Duration of a turn on an engine as a multiple of the normal one. @default 1 */
  slownessOf?: (engine: number) => number;
  /** Time between two exchanges of load figures, in milliseconds, which is also their mean age. @default 150 */
  watchIntervalMs?: number;
  /** Whether the leader of the directory answers. @default always */
  hasLeader?: (now: number) => boolean;
  /** Called each millisecond. */
  onTick?: (replay: WaitingReplay, now: number) => void;
  seed?: number;
}

/** An engine with slots and a queue in order of arrival. */
class ReplayEngine {
  readonly running: { turn: ReplayTurn; endsAt: number }[] = [];
  readonly queue: ReplayTurn[] = [];

  constructor(private readonly slowness: number) {}

  get hasRoom(): boolean {
    return this.queue.length < ENGINE_QUEUE;
  }

  remove(turn: ReplayTurn): void {
    const slot = this.running.findIndex((entry) => entry.turn === turn);
    if (slot >= 0) this.running.splice(slot, 1);
    const position = this.queue.indexOf(turn);
    if (position >= 0) this.queue.splice(position, 1);
  }

  /** @returns the turns that have ended */
  advance(now: number, normalMs: () => number): ReplayTurn[] {
    const ended = this.running.filter(({ endsAt }) => endsAt <= now).map(({ turn }) => turn);
    for (const turn of ended) this.remove(turn);
    while (this.running.length < SLOTS && this.queue.length > 0) {
      this.running.push({ turn: this.queue.shift()!, endsAt: now + normalMs() * this.slowness });
    }
    return ended;
  }
}

/** One gateway: the real view, placement and permit gate. */
class ReplayGateway {
  readonly view: BackendView;
  readonly gate: PermitGate;
  readonly placement: Placement;
  readonly ends = new Map<ReplayTurn, (wasSent: boolean, isTypical: boolean) => void>();
  isAlive = true;

  constructor(zone: string, isOrdered: boolean, random: () => number) {
    this.placement = new Placement({ zone, random });
    const limits = { connections: () => 24, cacheTokens: () => 1e9, gateways: () => GATEWAYS };
    this.view = new BackendView(limits);
    this.gate = new PermitGate({
      isActive: () => isOrdered,
      backends: (service) => this.view.serving(service),
      typicalMs: (service) => this.view.typicalMs(service),
      gateways: () => GATEWAYS,
      onFiguresOverdue: (service) => this.view.levelOtherLoads(service),
      logger: SILENT_LOGGER,
      metrics: new WaitingMetrics(new Registry()),
    });
  }

  get waiting(): number {
    return [...this.ends.keys()].filter((turn) => turn.decidedAt === undefined).length;
  }
}

export class WaitingReplay {
  readonly turns: ReplayTurn[] = [];
  readonly gateways: ReplayGateway[];
  readonly engines = new Map<string, ReplayEngine>();
  /** Fraction of the slots that are idle while calls wait, summed over the milliseconds of the overload. */
  private idleSum = 0;
  private overloadMs = 0;
  /** Turns that reached an engine whose queue was full. */
  engineRejections = 0;
  private readonly loads = new LoadReportStore(() => SNAPSHOT_TTL_MS);
  private readonly waiting = new WaitingReportStore();
  private readonly random: SeededRandom;

  constructor(private readonly options: ReplayOptions) {
    this.random = new SeededRandom(options.seed ?? 1);
    const records = Array.from({ length: ENGINES }, (_, index) => engineRecord(index));
    for (const [index, { id }] of records.entries()) {
      this.engines.set(id, new ReplayEngine(options.slownessOf?.(index) ?? 1));
    }
    const random = (): number => this.random.uniform();
    this.gateways = Array.from(
      { length: GATEWAYS },
      (_, index) => new ReplayGateway(zoneOf(index), options.isOrdered, random),
    );
    for (const { view } of this.gateways) view.update(records);
  }

  /** Mean fraction of the slots that were idle while calls waited in gateways, during the overload. */
  get idleFraction(): number {
    return this.overloadMs === 0 ? 0 : this.idleSum / this.overloadMs;
  }

  async run(): Promise<this> {
    for (let now = 0; now < this.options.durationMs; now += 1) {
      vi.advanceTimersByTime(1);
      this.advanceEngines();
      this.arrive(now);
      this.exchangeFigures(now);
      this.options.onTick?.(this, now);
      await flushMicrotasks();
      this.cutOff(performance.now());
      this.measureIdle(now);
    }
    for (const { gate } of this.gateways) gate.stop();
    return this;
  }

  /** Fraction of the turns selected by `filter` that ended in time. */
  inTime(filter: (turn: ReplayTurn) => boolean): number {
    const selected = this.turns.filter(filter);
    return selected.filter(({ outcome }) => outcome === 'in-time').length / selected.length;
  }

  /** Ends a gateway with all its calls. */
  kill(gateway: number): void {
    this.gateways[gateway]!.isAlive = false;
    for (const turn of [...this.gateways[gateway]!.ends.keys()]) this.leave(turn, 'cut-off');
  }

  /** The caller of a turn disconnects. */
  leave(turn: ReplayTurn, outcome: ReplayTurn['outcome']): void {
    const gateway = this.gateways[turn.gateway]!;
    const { sentTo } = turn;
    turn.outcome = outcome;
    if (sentTo) {
      this.engines.get(sentTo.id)!.remove(turn);
      sentTo.endCall();
    }
    gateway.ends.get(turn)?.(sentTo !== undefined, outcome === 'in-time');
    gateway.ends.delete(turn);
  }

  private arrive(now: number): void {
    const perMs = (this.options.loadAt(now) * CAPACITY_PER_SECOND) / 1_000;
    const draw = this.options.draw ?? (() => ({ priority: 1, tenant: 't' }));
    let arrivals = Math.floor(perMs) + (this.random.chance(perMs % 1) ? 1 : 0);
    for (; arrivals > 0; arrivals -= 1) {
      const gateway = this.random.integer(0, GATEWAYS - 1);
      if (!this.gateways[gateway]!.isAlive) continue;
      const arrivedAt = performance.now();
      const outcome = 'pending' as const;
      void this.serve({ gateway, offsetMs: now, arrivedAt, outcome, ...draw(this.random) });
    }
  }

  private async serve(turn: ReplayTurn): Promise<void> {
    this.turns.push(turn);
    const gateway = this.gateways[turn.gateway]!;
    const permit = gateway.gate.request({
      service: SERVICE,
      priority: turn.priority,
      tenant: turn.tenant,
      hasBegun: turn.hasBegun ?? false,
      deadlineMs: turn.arrivedAt + PATIENCE_MS,
      programRemainingMs: undefined,
      bytes: 1_000,
    });
    gateway.ends.set(turn, (...end) => permit?.end(...end));
    const refusal = permit && (await permit.decision);
    if (turn.outcome !== 'pending') return;
    turn.decidedAt = performance.now();
    if (refusal || !this.send(turn, gateway)) this.leave(turn, 'refused');
  }

  private send(turn: ReplayTurn, { view, placement }: ReplayGateway): boolean {
    const number = this.turns.length;
    const call = sampleCall({
      program: { id: `p${number}` },
      promptParts: [
        { id: `shared-${number % 3}`, tokens: 100 },
        { id: `own-${number}`, tokens: 10 },
      ],
    });
    const excluded = new Set<string>();
    while (excluded.size < MAX_ATTEMPTS) {
      const chosen = placement.choose(view.serving(SERVICE), { call, excluded });
      if (!chosen) return false;
      const engine = this.engines.get(chosen.backend.id)!;
      if (engine.hasRoom) {
        chosen.backend.beginCall(call.promptParts);
        engine.queue.push(turn);
        turn.sentTo = chosen.backend;
        return true;
      }
      this.engineRejections += 1;
      excluded.add(chosen.backend.id);
    }
    return false;
  }

  private advanceEngines(): void {
    const now = performance.now();
    const normalMs = (): number => TURN_MS * (0.5 + this.random.uniform());
    for (const engine of this.engines.values()) {
      for (const turn of engine.advance(now, normalMs)) {
        const { sentTo, decidedAt } = turn;
        const work = { missingTokens: 10, load: sentTo!.load, events: 10 };
        sentTo!.model.observe(work, now - decidedAt!, sentTo!.capacity);
        sentTo!.noteDataReceived();
        this.leave(turn, 'in-time');
      }
      for (const { turn } of engine.running) turn.sentTo!.noteDataReceived();
    }
  }

  /** Each gateway gets figures and reports its own at the same time, as with a long poll. */
  private exchangeFigures(now: number): void {
    if (!(this.options.hasLeader?.(now) ?? true)) {
      this.loads.clear();
      this.waiting.clear();
      return;
    }
    const intervalMs = this.options.watchIntervalMs ?? DEFAULT_WATCH_INTERVAL_MS;
    for (const [index, { view, gate, isAlive }] of this.gateways.entries()) {
      const phase = Math.floor((index * intervalMs) / GATEWAYS);
      if (!isAlive || now % intervalMs !== phase) continue;
      const name = `g${index}`;
      view.updateOtherLoads(loadsOfOtherGateways(this.loads.totalsFor(name)));
      gate.updateFigures(this.waiting.viewFor(name) ?? []);
      this.loads.report(name, view.loads());
      this.waiting.report(name, gate.report());
    }
  }

  private cutOff(now: number): void {
    for (const { ends } of this.gateways) {
      for (const turn of ends.keys()) {
        if (now - turn.arrivedAt >= PATIENCE_MS) this.leave(turn, 'cut-off');
      }
    }
  }

  private measureIdle(now: number): void {
    if (this.options.loadAt(now) <= 1) return;
    const waiting = this.gateways.reduce((sum, gateway) => sum + gateway.waiting, 0);
    let idle = 0;
    for (const { running } of this.engines.values()) idle += SLOTS - running.length;
    this.overloadMs += 1;
    this.idleSum += Math.min(idle, waiting) / (ENGINES * SLOTS);
  }
}

function engineRecord(index: number): BackendRecord {
  return {
    id: `e${index}`,
    name: `e${index}`,
    service: SERVICE,
    address: `127.0.0.1:${1_000 + index}`,
    zone: zoneOf(index),
    slots: SLOTS,
    phase: 'ready',
    sequence: 1,
    isSilent: false,
  };
}

function zoneOf(index: number): string {
  return `z${index % ZONES}`;
}

async function flushMicrotasks(): Promise<void> {
  for (let round = 0; round < 4; round += 1) await Promise.resolve();
}
