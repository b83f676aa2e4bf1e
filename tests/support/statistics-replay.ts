/**
 * Replays the load of a fleet on simulated time: the real placement, latency models and statistics of many gateways,
 * engines with slots and a queue, and watch requests that bring load figures with their real delay.
 */
import { onTestFinished, vi } from 'vitest';
import { BackendStatistics } from '../../src/backend-statistics/backend-statistics.js';
import { BackendStatisticsStore } from '../../src/backend-statistics/statistics-store.js';
import { SeededRandom } from '../../src/common/random.js';
import type { BackendRecord } from '../../src/directory/backend-registration.js';
import { type BackendState, BackendView } from '../../src/forwarding/backend-view.js';
import { Placement, estimatedMsAt } from '../../src/forwarding/placement.js';
import { createLogger, setLogLevel } from '../../src/observability/logger.js';
import type { SchedulingMode } from '../../src/routes/scheduling-mode.js';
import { sampleCall } from './sample-call.js';

const WATCH_MS = 200;
/** Time until held watch requests are answered after a change. */
const WAKE_MS = 10;
const FAILED_CALL_MS = 30;
const SERVICE = 'service';
const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

export interface ReplayOptions {
  mode: SchedulingMode;
  gateways: number;
  zones: string[];
  backends: number;
  slots: number;
  queue: number;
  /** Calls per second of one gateway. */
  rate: number;
  isModelCall: boolean;
  /** Duration on a backend of normal speed, in milliseconds: drawn evenly from this range. */
  durationMs: [number, number];
  /** Factor of the duration at a backend and a time. @default 1 */
  slowdown?: (backend: number, atMs: number) => number;
  /** Probability of failure. @default 0 */
  failureRatio?: (backend: number, zone: string, atMs: number) => number;
  /** Time until a failure is seen; `Infinity` is not allowed. */
  failureMs?: number;
  seed: number;
}

export interface ReplayedCall {
  at: number;
  backend: number;
  tookMs: number;
  estimatedMs: number;
  ending: 'answered' | 'failed' | 'rejected';
}

interface Gateway {
  name: string;
  zone: string;
  view: BackendView;
  statistics: BackendStatistics;
  placement: Placement;
}

interface Waiting {
  durationMs: number;
  done: () => void;
}

export class StatisticsReplay {
  now = 0;
  readonly calls: ReplayedCall[] = [];
  readonly gateways: Gateway[];
  /** Undefined while there is no leader. */
  leader: BackendStatisticsStore | undefined;
  records: BackendRecord[];
  private readonly events: { at: number; run: () => void }[] = [];
  private readonly running: number[];
  private readonly queues: Waiting[][];
  private readonly loads = new Map<Gateway, Map<string, number>>();
  /** Answers to the watch requests that the leader holds. */
  private readonly held = new Set<() => void>();
  private readonly random: SeededRandom;

  constructor(private readonly options: ReplayOptions) {
    setLogLevel('error');
    const clock = vi.spyOn(performance, 'now').mockImplementation(() => this.now);
    onTestFinished(() => {
      clock.mockRestore();
      setLogLevel('info');
    });
    this.random = new SeededRandom(options.seed);
    this.running = new Array<number>(options.backends).fill(0);
    this.queues = this.running.map(() => []);
    this.records = this.running.map((_, index) => this.recordOf(index, 1));
    this.leader = this.newLeader();
    this.gateways = Array.from({ length: options.gateways }, (_, index) => this.addGateway(index));
  }

  newLeader(): BackendStatisticsStore {
    return new BackendStatisticsStore({
      backends: () => new Map(this.records.map((record) => [record.id, record])),
      logger: createLogger({}),
      onFailingChange: () => {
        for (const answer of this.held) this.schedule(this.now + WAKE_MS, answer);
      },
    });
  }

  /** Replaces a backend by another incarnation at the same address. */
  replaceBackend(index: number): void {
    this.records[index] = this.recordOf(index, 2);
    for (const { view } of this.gateways) view.update(this.records);
  }

  schedule(at: number, run: () => void): void {
    let [low, high] = [0, this.events.length];
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.events[middle]!.at > at) low = middle + 1;
      else high = middle;
    }
    this.events.splice(low, 0, { at, run });
  }

  runUntil(endMs: number): void {
    while (this.events.at(-1)!.at <= endMs) {
      const { at, run } = this.events.pop()!;
      this.now = at;
      run();
    }
    this.now = endMs;
  }

  /** Share of the gateways, by their own view, at which a backend fails. */
  failingShare(index: number, zone?: string): number {
    const asked = this.gateways.filter((gateway) => zone === undefined || gateway.zone === zone);
    const { id } = this.records[index]!;
    return asked.filter(({ statistics }) => statistics.isFailing(id)).length / asked.length;
  }

  /** Mean slowdown factor of a backend over the gateways. */
  slowdownOf(index: number): number {
    const { id } = this.records[index]!;
    const factors = this.gateways.map(({ statistics }) => statistics.slowdownOf(id));
    return factors.reduce((sum, factor) => sum + factor, 0) / factors.length;
  }

  private recordOf(index: number, startedAt: number): BackendRecord {
    const { zones, slots } = this.options;
    return {
      id: `b${index}@${startedAt}`,
      name: `b${index}`,
      service: SERVICE,
      address: `127.0.0.1:${1_000 + index}`,
      zone: zones[index % zones.length]!,
      slots,
      phase: 'ready',
      sequence: 1,
      isSilent: false,
    };
  }

  private addGateway(index: number): Gateway {
    const zone = this.options.zones[index % this.options.zones.length]!;
    const statistics = new BackendStatistics({ zone });
    statistics.setMode(this.options.mode);
    const limits = {
      connections: () => 100,
      cacheTokens: () => Infinity,
      gateways: () => this.options.gateways,
    };
    const view = new BackendView(limits, statistics);
    view.update(this.records);
    const random = this.random.fork();
    const placement = new Placement({ zone, statistics, random: () => random.uniform() });
    const gateway = { name: `g${index}`, zone, view, statistics, placement };
    this.schedule(this.random.uniform() * WATCH_MS, () => this.watch(gateway));
    this.scheduleCall(gateway);
    return gateway;
  }

  private watch(gateway: Gateway): void {
    const { leader } = this;
    const report = gateway.statistics.takeReport();
    if (report) leader?.report(gateway.name, gateway.zone, report);
    const own = new Map(gateway.view.loads().map(({ id, inFlight }) => [id, inFlight]));
    this.loads.set(gateway, own);
    const answer = (): void => {
      if (!this.held.delete(answer)) return;
      if (leader && leader === this.leader) {
        gateway.view.updateOtherLoads(this.loadsOfOthers(own));
        gateway.statistics.apply(leader.viewFor());
      }
      this.watch(gateway);
    };
    this.held.add(answer);
    this.schedule(this.now + WATCH_MS, answer);
  }

  private loadsOfOthers(own: ReadonlyMap<string, number>): { id: string; inFlight: number }[] {
    return this.records.map(({ id }) => {
      let inFlight = -(own.get(id) ?? 0);
      for (const loads of this.loads.values()) inFlight += loads.get(id) ?? 0;
      return { id, inFlight };
    });
  }

  private scheduleCall(gateway: Gateway): void {
    const pauseMs = this.random.exponential(1_000 / this.options.rate);
    this.schedule(this.now + pauseMs, () => {
      this.call(gateway);
      this.scheduleCall(gateway);
    });
  }

  private call({ view, placement, zone, statistics }: Gateway): void {
    const { options, random, now: at } = this;
    const own = `${random.integer(0, 1e9)}`;
    const promptParts = options.isModelCall
      ? [
          { id: `s${own.at(-1)}`, tokens: 100 },
          { id: own, tokens: 200 },
        ]
      : [];
    const call = sampleCall({ program: { id: own }, promptParts });
    const request = { call, excluded: NO_EXCLUSIONS, mayProbe: true };
    const decision = placement.choose(view.serving(SERVICE), request);
    if (!decision) throw new Error('no backend with a free connection');
    const { backend, missingTokens } = decision;
    const estimatedMs = estimatedMsAt(backend, call, missingTokens);
    const slowdown = backend.sharedSlowdown;
    const work = { missingTokens, load: backend.load, events: 1 };
    const backendIndex = Number(backend.record.name.slice(1));
    backend.beginCall(promptParts);
    const end = (ending: ReplayedCall['ending']): void => {
      backend.endCall();
      const tookMs = this.now - at;
      this.calls.push({ at, backend: backendIndex, tookMs, estimatedMs, ending });
      if (ending === 'answered') this.noteSuccess(backend, work, tookMs);
      if (ending === 'failed') backend.noteErrorResponse();
      statistics.noteAttempt(backend.id, {
        kind: ending === 'rejected' ? 'not-executed' : 'complete',
        isFaulty: ending === 'failed',
        isGivenUp: false,
        wasPaused: false,
        tookMs,
        silentMs: 0,
        estimatedMs,
        slowdown,
      });
    };
    const failureRatio = options.failureRatio?.(backendIndex, zone, at) ?? 0;
    if (random.chance(failureRatio)) {
      this.schedule(at + (options.failureMs ?? FAILED_CALL_MS), () => end('failed'));
    } else this.execute(backendIndex, end);
  }

  private noteSuccess(
    backend: BackendState,
    work: { missingTokens: number; load: number; events: number },
    tookMs: number,
  ): void {
    backend.noteDuration(work, tookMs, false);
    backend.noteSuccess();
  }

  private execute(index: number, end: (ending: ReplayedCall['ending']) => void): void {
    const [shortest, longest] = this.options.durationMs;
    const durationMs = shortest + this.random.uniform() * (longest - shortest);
    const call = { durationMs, done: () => end('answered') };
    if (this.running[index]! < this.options.slots) this.start(index, call);
    else if (this.queues[index]!.length < this.options.queue) this.queues[index]!.push(call);
    else end('rejected');
  }

  private start(index: number, call: Waiting): void {
    this.running[index]! += 1;
    const factor = this.options.slowdown?.(index, this.now) ?? 1;
    this.schedule(this.now + call.durationMs * factor, () => {
      this.running[index]! -= 1;
      call.done();
      const next = this.queues[index]!.shift();
      if (next) this.start(index, next);
    });
  }
}
