/** A gateway's health on simulated time, with a simulated event loop and simulated leaders. */
import { Registry } from 'prom-client';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createLogger } from '../observability/index.js';
import { CutOffSignal } from './cut-off-signal.js';
import { GatewayHealth } from './gateway-health.js';
import { HealthMetrics } from './health-metrics.js';
import { HEALTH_TTL_MS } from './messages.js';
import type { EventLoopLoad } from './overload-detector.js';
import { ZoneHealthBoard } from './zone-health-board.js';

const ZONE = 'z1';
const LONG_POLL_MS = 200;
const STEP_MS = 50;
const BUSY: EventLoopLoad = { utilization: 0.98, delayMs: 200 };
const IDLE: EventLoopLoad = { utilization: 0.3, delayMs: 5 };

beforeEach(
  () => void vi.useFakeTimers({ toFake: ['performance', 'setInterval', 'clearInterval'] }),
);
afterEach(() => void vi.useRealTimers());

const now = (): number => performance.now();

/** A gateway without calls: it sends the ledger only probes. */
class SimulatedGateway {
  load = IDLE;
  isDirectoryUp = true;
  isLedgerUp = true;
  hasLedger = true;
  probes = 0;
  readonly signal = new CutOffSignal();
  readonly registry = new Registry();
  readonly health: GatewayHealth;
  private directoryAnsweredAt = now();
  private ledgerAnsweredAt = now();
  private probedAt: number | undefined;
  private requestedAt = now();

  constructor(
    readonly name: string,
    private readonly board: ZoneHealthBoard,
  ) {
    this.health = new GatewayHealth({
      directoryLeader: () => ({ address: 'leader', ageMs: now() - this.directoryAnsweredAt }),
      directoryHoldMs: LONG_POLL_MS,
      ledger: this.ledger(),
      hasLedger: () => this.hasLedger,
      signal: this.signal,
      meter: { start: () => undefined, stop: () => undefined, read: () => this.load },
      logger: createLogger({}),
      metrics: new HealthMetrics(this.registry),
    });
    this.health.setMode('coordinated');
  }

  get isReady(): boolean {
    return this.health.isReady;
  }

  step(): void {
    if (this.isLedgerUp && this.probedAt !== undefined) {
      this.ledgerAnsweredAt = now();
      this.probedAt = undefined;
    }
    if (now() - this.requestedAt >= LONG_POLL_MS && this.isDirectoryUp) this.watch();
  }

  async unreadyCount(reason: string): Promise<number> {
    const text = await this.registry.metrics();
    const line = text.split('\n').find((entry) => entry.includes(`reason="${reason}"`));
    return Number(line?.split(' ').at(-1) ?? 0);
  }

  private watch(): void {
    const { requestedAt } = this;
    this.directoryAnsweredAt = now();
    this.requestedAt = now();
    const report = this.health.nextReport();
    this.board.report(this.name, ZONE, report);
    if (report) this.health.applyZoneHealth(this.board.viewFor(this.name), requestedAt);
  }

  private ledger() {
    const answeredAgeMs = (): number => now() - this.ledgerAnsweredAt;
    const silenceMs = (): number => (this.probedAt === undefined ? 0 : now() - this.probedAt);
    return {
      get silenceMs() {
        return silenceMs();
      },
      get answeredAgeMs() {
        return answeredAgeMs();
      },
      probe: async () => {
        this.probes += 1;
        this.probedAt ??= now();
      },
    };
  }
}

class SimulatedZone {
  readonly board = new ZoneHealthBoard(now);
  readonly gateways: SimulatedGateway[];

  constructor(count: number) {
    this.gateways = Array.from(
      { length: count },
      (_, index) => new SimulatedGateway(`g${index + 1}`, this.board),
    );
  }

  get ready(): SimulatedGateway[] {
    return this.gateways.filter(({ isReady }) => isReady);
  }

  run(lastsMs: number, check: () => void = () => undefined): void {
    for (let passedMs = 0; passedMs < lastsMs; passedMs += STEP_MS) {
      vi.advanceTimersByTime(STEP_MS);
      for (const gateway of this.gateways) gateway.step();
      check();
    }
  }
}

function startGateway(): { zone: SimulatedZone; gateway: SimulatedGateway } {
  const zone = new SimulatedZone(1);
  zone.run(1_000);
  return { zone, gateway: zone.gateways[0]! };
}

describe('a gateway without calls', () => {
  it('is not ready within 1.2 s of being cut off from both leaders, and ready when both have answered', () => {
    const { zone, gateway } = startGateway();
    gateway.isDirectoryUp = gateway.isLedgerUp = false;
    zone.run(1_200);
    expect(gateway.isReady).toBe(false);
    expect(gateway.signal.isCutOff).toBe(true);
    gateway.isDirectoryUp = true;
    zone.run(500);
    expect(gateway.isReady).toBe(false);
    gateway.isLedgerUp = true;
    zone.run(500);
    expect(gateway.isReady).toBe(true);
    expect(gateway.signal.isCutOff).toBe(false);
  });

  it.each([{ isDirectoryUp: false }, { isLedgerUp: false }])(
    'stays ready while one leader is silent: %o',
    (outage) => {
      const { zone, gateway } = startGateway();
      Object.assign(gateway, outage);
      zone.run(10_000, () => expect(gateway.isReady).toBe(true));
    },
  );

  it('sends the ledger no probes while the directory answers, and few while it is silent', () => {
    const { zone, gateway } = startGateway();
    zone.run(5_000);
    expect(gateway.probes).toBe(0);
    gateway.isDirectoryUp = false;
    zone.run(1_000);
    expect(gateway.probes).toBeGreaterThan(0);
    expect(gateway.probes).toBeLessThanOrEqual(4);
  });

  it('is ready again after a restart of the whole system, also if the ledger stays down', () => {
    const { zone, gateway } = startGateway();
    gateway.isDirectoryUp = gateway.isLedgerUp = false;
    zone.run(2_000);
    expect(gateway.isReady).toBe(false);
    gateway.isDirectoryUp = true;
    zone.run(2_500);
    expect(gateway.isReady).toBe(true);
  });

  it('is never cut off if there is no ledger', () => {
    const { zone, gateway } = startGateway();
    gateway.hasLedger = false;
    gateway.isDirectoryUp = false;
    zone.run(10_000, () => expect(gateway.isReady).toBe(true));
  });

  it('counts each time it becomes not ready', async () => {
    const { zone, gateway } = startGateway();
    for (let cut = 0; cut < 2; cut += 1) {
      gateway.isDirectoryUp = gateway.isLedgerUp = false;
      zone.run(2_000);
      gateway.isDirectoryUp = gateway.isLedgerUp = true;
      zone.run(2_000);
    }
    expect(await gateway.unreadyCount('cut-off')).toBe(2);
    expect(await gateway.unreadyCount('overloaded')).toBe(0);
  });
});

describe('overloaded gateways', () => {
  it('leave one by one if they are few; lightly loaded ones stay ready', () => {
    const zone = new SimulatedZone(9);
    zone.run(2_000);
    const slow = zone.gateways.slice(0, 2);
    for (const gateway of slow) gateway.load = BUSY;
    zone.run(2_500);
    expect(zone.ready).toEqual(zone.gateways.slice(2));
    for (const gateway of slow) gateway.load = IDLE;
    zone.run(2_000);
    expect(zone.ready).toEqual(zone.gateways);
  });

  it('leave up to a third of the zone', () => {
    const zone = new SimulatedZone(9);
    zone.run(2_000);
    for (const gateway of zone.gateways.slice(0, 8)) gateway.load = BUSY;
    let fewest = 9;
    zone.run(10_000, () => {
      fewest = Math.min(fewest, zone.ready.length);
      expect(zone.gateways[8]!.isReady).toBe(true);
    });
    expect(fewest).toBe(6);
  });

  it('stay within a third when another leader takes over', () => {
    const zone = new SimulatedZone(9);
    zone.run(2_000);
    for (const gateway of zone.gateways) gateway.load = BUSY;
    zone.run(3_000);
    const left = zone.gateways.filter(({ isReady }) => !isReady);
    expect(left).toHaveLength(3);
    zone.board.clear();
    zone.run(6_000, () => expect(zone.ready.length).toBeGreaterThanOrEqual(6));
    expect(zone.gateways.filter(({ isReady }) => !isReady)).toEqual(left);
  });

  it('stay ready without an answer, and return when the permission expires', () => {
    const zone = new SimulatedZone(4);
    zone.run(2_000);
    const [first, second] = zone.gateways as [SimulatedGateway, SimulatedGateway];
    second.load = BUSY;
    second.isDirectoryUp = false;
    zone.run(3_000);
    expect(second.isReady).toBe(true);
    second.load = IDLE;
    first.load = BUSY;
    zone.run(3_000);
    expect(first.isReady).toBe(false);
    first.isDirectoryUp = false;
    zone.run(HEALTH_TTL_MS + 2 * STEP_MS);
    expect(first.isReady).toBe(true);
  });
});

describe('a change of the mode', () => {
  it('ends all effects and reports in independent mode', () => {
    const zone = new SimulatedZone(3);
    zone.run(2_000);
    const [gateway] = zone.gateways as [SimulatedGateway];
    gateway.load = BUSY;
    zone.run(3_000);
    expect(gateway.isReady).toBe(false);
    gateway.health.setMode('independent');
    expect(gateway.isReady).toBe(true);
    expect(gateway.health.isActive).toBe(false);
    zone.run(1_000);
    expect(gateway.health.nextReport()).toBeUndefined();
    gateway.isDirectoryUp = gateway.isLedgerUp = false;
    zone.run(3_000);
    expect(gateway.isReady).toBe(true);
  });
});
