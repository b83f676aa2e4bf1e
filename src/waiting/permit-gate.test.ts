/** Waiting, release and refusal of calls in one gateway. */
import { Registry } from 'prom-client';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SILENT_LOGGER } from '../../lab/silent-logger.js';
import { MemoryBudget } from '../memory-budget/index.js';
import { PermitGate } from './permit-gate.js';
import type { PermitCall, PermitRefusal, PermitRequest } from './permit-request.js';
import { ServiceTime } from './service-time.js';
import { WaitingMetrics } from './waiting-metrics.js';

const CEILING = 9;
const TYPICAL_MS = 300;
const PATIENCE_MS = 1_000;
/** Longer than the interval at which waiting calls are reviewed. */
const REVIEW_MS = 30;

beforeEach(() => vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'clearTimeout'] }));
afterEach(() => vi.useRealTimers());

type Decision = 'waiting' | 'permitted' | PermitRefusal;

/** A gate in front of one engine, whose load the test sets. */
class GateBench {
  isActive = true;
  hasEngine = true;
  readonly engine = { capacity: 6, load: 0, isSuspect: false };
  readonly registry = new Registry();
  budget = new MemoryBudget({ logger: SILENT_LOGGER });
  readonly gate = new PermitGate({
    memoryBudget: () => this.budget,
    isActive: () => this.isActive,
    backends: () => (this.hasEngine ? [this.engine] : []),
    typicalMs: () => TYPICAL_MS,
    gateways: () => 1,
    onFiguresOverdue: () => undefined,
    logger: SILENT_LOGGER,
    metrics: new WaitingMetrics(this.registry),
  });
  private readonly decisions = new Map<PermitRequest, Decision>();

  constructor() {
    this.gate.updateFigures([]);
  }

  request(overrides: Partial<PermitCall> = {}): PermitRequest {
    const request = this.gate.request({
      service: 's',
      priority: 1,
      tenant: 't',
      hasBegun: true,
      deadlineMs: performance.now() + PATIENCE_MS,
      programRemainingMs: undefined,
      bytes: 10,
      ...overrides,
    })!;
    this.decisions.set(request, 'waiting');
    void request.decision.then((refusal) => this.decisions.set(request, refusal ?? 'permitted'));
    return request;
  }

  /** Requests permits until the engine is full. */
  fill(): PermitRequest[] {
    return Array.from({ length: CEILING }, () => this.request());
  }

  async decisionOf(request: PermitRequest): Promise<Decision> {
    for (let round = 0; round < 4; round += 1) await Promise.resolve();
    return this.decisions.get(request)!;
  }

  async counted(outcome: string): Promise<number> {
    const { values } = (await this.registry
      .getSingleMetric('ledgegauge_waiting_outcomes_total')!
      .get()) as { values: { value: number; labels: Record<string, string | number> }[] };
    return values.find(({ labels }) => labels.outcome === outcome)?.value ?? 0;
  }
}

describe('a call', () => {
  it('does not wait while permits are available', async () => {
    const bench = new GateBench();
    for (const request of bench.fill()) {
      expect(await bench.decisionOf(request)).toBe('permitted');
      expect(request.waitedMs).toBeUndefined();
    }
    expect(bench.gate.report()).toBeUndefined();
    expect(await bench.counted('immediate')).toBe(CEILING);
  });

  // Guards against refusing a call with a long history for ever.
  it('is permitted at once on an idle engine although it exceeds the bytes of the queue', async () => {
    const bench = new GateBench();
    expect(await bench.decisionOf(bench.request({ bytes: 9_000_000 }))).toBe('permitted');
  });

  // Guards against refusing calls of idle servers because calls of another service fill the queue.
  it('is permitted at once on idle servers although the queue is full', async () => {
    const bench = new GateBench();
    bench.fill();
    for (let number = 0; number < 300; number += 1) {
      bench.request({ deadlineMs: performance.now() + 1e9 });
    }
    expect(await bench.counted('queue-full')).toBeGreaterThan(0);
    const plain = bench.request({ service: 'tools', priority: 2 });
    expect(await bench.decisionOf(plain)).toBe('permitted');
  });

  it('accounts for waiting calls in the memory budget and refuses the largest beyond it', async () => {
    const bench = new GateBench();
    bench.budget = new MemoryBudget({ memoryLimitBytes: 10_000, logger: SILENT_LOGGER });
    bench.fill();
    const small = bench.request({ bytes: 1_000 });
    expect(bench.budget.heldBytesOf('waiting-call')).toBe(1_000);
    const large = bench.request({ bytes: 2_500 });
    expect(await bench.decisionOf(large)).toMatchObject({ retryAfterMs: expect.any(Number) });
    expect(await bench.decisionOf(small)).toBe('waiting');
    expect(bench.budget.heldBytesOf('waiting-call')).toBe(1_000);
    small.end(false);
    expect(bench.budget.heldBytes).toBe(0);
  });

  // Guards against a body that is counted twice while its call waits.
  it('lets the body of a waiting call give way, and no longer once it is sent', async () => {
    const bench = new GateBench();
    const [first] = bench.fill();
    const held = bench.budget.hold({ kind: 'running-request' });
    held.resize(1_000);
    bench.request({ bytes: 1_000, held });
    expect([held.options.kind, bench.budget.heldBytes]).toEqual(['waiting-call', 1_000]);
    first!.end(true);
    expect([held.options.kind, held.options.end]).toEqual(['running-request', undefined]);
    expect(bench.budget.heldBytes).toBe(1_000);
  });

  it('waits once the engine is full, until one of this gateway ends', async () => {
    const bench = new GateBench();
    const [first] = bench.fill();
    const waiting = bench.request();
    expect(await bench.decisionOf(waiting)).toBe('waiting');
    expect(bench.gate.report()).toEqual([{ service: 's', calls: 1 }]);
    vi.advanceTimersByTime(100);
    first!.end(true);
    expect(await bench.decisionOf(waiting)).toBe('permitted');
    expect(waiting.waitedMs).toBe(100);
    expect(waiting.waitedBehind).toBe(0);
  });

  it('is released when new load figures show a free place', async () => {
    const bench = new GateBench();
    bench.fill();
    const waiting = bench.request();
    vi.advanceTimersByTime(100);
    bench.engine.load = CEILING - 2;
    bench.gate.updateFigures([]);
    expect(await bench.decisionOf(waiting)).toBe('permitted');
  });

  // Without the timer, a call would wait until its deadline in a gateway that gets no figures and has no other call.
  it('is released by the timer when figures have been missing for too long', async () => {
    const bench = new GateBench();
    bench.engine.load = 3 * CEILING;
    bench.gate.updateFigures([]);
    vi.advanceTimersByTime(250);
    const waiting = bench.request();
    expect(await bench.decisionOf(waiting)).toBe('waiting');
    vi.advanceTimersByTime(50 + REVIEW_MS);
    expect(await bench.decisionOf(waiting)).toBe('permitted');
  });

  it('gets no permit check in independent mode', () => {
    const bench = new GateBench();
    bench.isActive = false;
    const call = { service: 's', priority: 1, tenant: 't', hasBegun: true, bytes: 1 };
    const timing = { deadlineMs: 0, programRemainingMs: undefined };
    expect(bench.gate.request({ ...call, ...timing })).toBeUndefined();
    expect(bench.gate.report()).toBeUndefined();
  });

  it('is released when the mode changes to independent', async () => {
    const bench = new GateBench();
    bench.fill();
    const waiting = bench.request();
    bench.isActive = false;
    vi.advanceTimersByTime(REVIEW_MS);
    expect(await bench.decisionOf(waiting)).toBe('permitted');
  });

  it('is not held while the service has no backend, so that it is refused for that reason', async () => {
    const bench = new GateBench();
    bench.hasEngine = false;
    expect(await bench.decisionOf(bench.request())).toBe('permitted');
  });
});

describe('a refusal', () => {
  it('comes at once if the expected wait does not fit, and tells when to retry', async () => {
    const bench = new GateBench();
    bench.fill();
    for (let number = 0; number < 30; number += 1) bench.request();
    const late = bench.request();
    const decision = await bench.decisionOf(late);
    expect(decision).toHaveProperty('retryAfterMs');
    expect((decision as PermitRefusal).retryAfterMs).toBeGreaterThan(TYPICAL_MS);
    expect((decision as PermitRefusal).retryAfterMs).toBeLessThanOrEqual(1_000);
    expect(late.waitedMs).toBe(0);
    expect(await bench.counted('refused-on-arrival')).toBeGreaterThan(0);
  });

  it('comes at once for a call that has no time left to be served', async () => {
    const bench = new GateBench();
    bench.fill();
    const hopeless = bench.request({ deadlineMs: performance.now() + TYPICAL_MS - 1 });
    expect(await bench.decisionOf(hopeless)).toHaveProperty('retryAfterMs');
  });

  it('comes before half of the time until the deadline if no permit becomes available', async () => {
    const bench = new GateBench();
    bench.fill();
    const waiting = bench.request();
    vi.advanceTimersByTime(PATIENCE_MS / 2 - REVIEW_MS);
    expect(await bench.decisionOf(waiting)).toBe('waiting');
    vi.advanceTimersByTime(2 * REVIEW_MS);
    expect(await bench.decisionOf(waiting)).toHaveProperty('retryAfterMs');
    expect(waiting.waitedMs).toBeLessThanOrEqual(PATIENCE_MS / 2);
    expect(await bench.counted('refused-while-waiting')).toBe(1);
  });

  it('comes earlier for the first turn of a program than for a later one', async () => {
    const bench = new GateBench();
    bench.fill();
    const later = bench.request({ priority: 0 });
    const first = bench.request({ hasBegun: false });
    vi.advanceTimersByTime(PATIENCE_MS * 0.25 + REVIEW_MS);
    expect(await bench.decisionOf(first)).toHaveProperty('retryAfterMs');
    expect(await bench.decisionOf(later)).toBe('waiting');
  });

  it('hits the last call in order when the queue is full', async () => {
    const bench = new GateBench();
    bench.fill();
    const lessUrgent = bench.request({ priority: 2, bytes: 5_000_000 });
    const urgent = bench.request({ priority: 0, bytes: 5_000_000 });
    expect(await bench.decisionOf(lessUrgent)).toHaveProperty('retryAfterMs');
    expect(await bench.decisionOf(urgent)).toBe('waiting');
    expect(await bench.counted('queue-full')).toBe(1);
  });

  it('ends all waiting calls when the gateway stops', async () => {
    const bench = new GateBench();
    bench.fill();
    const waiting = bench.request();
    bench.gate.stop();
    expect(await bench.decisionOf(waiting)).toHaveProperty('retryAfterMs');
  });
});

describe('a stopped gateway', () => {
  // Nothing would review or release the call any more, so that its caller would wait until its deadline.
  it('refuses later calls at once', async () => {
    const bench = new GateBench();
    bench.fill();
    bench.request();
    bench.gate.stop();
    expect(vi.getTimerCount()).toBe(0);
    expect(await bench.decisionOf(bench.request())).toHaveProperty('retryAfterMs');
    expect(vi.getTimerCount()).toBe(0);
  });

  it('refuses later calls although permits are available', async () => {
    const bench = new GateBench();
    bench.gate.stop();
    expect(await bench.decisionOf(bench.request())).toHaveProperty('retryAfterMs');
  });
});

describe('the ceiling', () => {
  /** The first figures leave one unused place, which is carried over to the next. */
  const CARRIED = 1;
  const endAfter = (bench: GateBench, tookMs: number, isTypical: boolean): void => {
    const request = bench.request();
    vi.advanceTimersByTime(tookMs);
    request.end(true, isTypical);
    bench.gate.updateFigures([]);
  };
  const permitted = async (bench: GateBench): Promise<number> => {
    const requests = Array.from({ length: 15 }, () => bench.request());
    const decisions = await Promise.all(requests.map((request) => bench.decisionOf(request)));
    return decisions.filter((decision) => decision === 'permitted').length;
  };

  // A backend that refuses connections would otherwise seem fast, and get twice the calls that it can process.
  it('does not follow calls that failed at once', async () => {
    const bench = new GateBench();
    endAfter(bench, 1, false);
    expect(await permitted(bench)).toBe(CEILING + CARRIED);
  });

  it('follows the service time of answered calls', async () => {
    const bench = new GateBench();
    endAfter(bench, 150, true);
    expect(await permitted(bench)).toBe(2 * bench.engine.capacity + CARRIED);
  });

  // With a time of 0, the expected rate of permits would be infinite.
  it('is based on at least 1 ms', () => {
    const time = new ServiceTime();
    expect(time.typicalMs(0)).toBe(1);
    time.observe(0, 1);
    expect(time.typicalMs(TYPICAL_MS)).toBe(1);
  });
});

describe('a caller that leaves', () => {
  it('releases its queue entry at once', async () => {
    const bench = new GateBench();
    bench.fill();
    const leaving = bench.request({ priority: 0 });
    const next = bench.request();
    leaving.end(false);
    vi.advanceTimersByTime(450);
    expect(bench.gate.report()).toEqual([{ service: 's', calls: 1 }]);
    bench.engine.load = CEILING - 1;
    bench.gate.updateFigures([]);
    expect(await bench.decisionOf(next)).toBe('permitted');
    expect(await bench.counted('abandoned')).toBe(1);
  });

  it('releases its permit at once if the call was not sent', async () => {
    const bench = new GateBench();
    const [first] = bench.fill();
    const waiting = bench.request();
    first!.end(false);
    first!.end(false);
    expect(await bench.decisionOf(waiting)).toBe('permitted');
    expect(await bench.decisionOf(bench.request())).toBe('waiting');
  });
});
