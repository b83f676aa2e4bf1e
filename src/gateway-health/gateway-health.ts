/**
 * Health of this gateway in `coordinated` mode: whether it is cut off from both leaders or overloaded, and whether it
 * is therefore not ready for new callers. Without the mode it is always healthy, reports nothing and runs no timer.
 */
import { monotonicMs } from '../common/index.js';
import type { HeardLeader } from '../consensus/index.js';
import type { Logger } from '../observability/index.js';
import type { SchedulingMode } from '../routes/index.js';
import { CutOffDetector, type LeaderContact } from './cut-off-detector.js';
import { CutOffSignal } from './cut-off-signal.js';
import type { EventLoopMeter } from './event-loop-meter.js';
import type { HealthMetrics } from './health-metrics.js';
import { HEALTH_TTL_MS, type HealthReport, type ZoneHealth } from './messages.js';
import { type EventLoopLoad, OverloadDetector } from './overload-detector.js';

/** The parts of the ledger client that this module uses. */
export interface ObservedLedger {
  /** How long a leader's answer has been overdue, in milliseconds; 0 if no request is unanswered. */
  readonly silenceMs: number;
  /** Time since a leader's latest answer, in milliseconds; `Infinity` if there was none. */
  readonly answeredAgeMs: number;
  /** Sends a request to the leader unless one is in flight. */
  probe(): Promise<void>;
}

export interface GatewayHealthOptions {
  /** Latest answer of the directory's leader, whose watch requests never cease. */
  directoryLeader: () => HeardLeader | undefined;
  /** Time for which the directory's leader may hold a request, in milliseconds. */
  directoryHoldMs: number;
  ledger: ObservedLedger;
  /** Whether there is a ledger; without one a gateway is never cut off. */
  hasLedger: () => boolean;
  signal: CutOffSignal;
  meter: Pick<EventLoopMeter, 'start' | 'stop' | 'read'>;
  logger: Logger;
  metrics: HealthMetrics;
  /** Monotonic clock in milliseconds. @default monotonicMs */
  now?: () => number;
}

const UPDATE_INTERVAL_MS = 100;
/** The load of the event loop is measured at each second update. */
const UPDATES_PER_MEASUREMENT = 2;
/** Silence of the directory's leader from which the ledger is probed, in milliseconds. */
const PROBE_SILENCE_MS = 100;
/**
 * Time since the ledger's latest answer from which it is probed, in milliseconds. A gateway without model calls
 * sends the ledger no other requests.
 */
const PROBE_INTERVAL_MS = 250;
/** Minimum time between two reports, in milliseconds. */
const REPORT_INTERVAL_MS = 400;
const NO_LOAD: EventLoopLoad = { utilization: 0, delayMs: 0 };
const ANSWERING: LeaderContact = { silenceMs: 0, answeredAgeMs: 0 };

export class GatewayHealth {
  private readonly now: () => number;
  private cutOff = new CutOffDetector();
  private overload = new OverloadDetector();
  private timer: NodeJS.Timeout | undefined;
  private load = NO_LOAD;
  private updates = 0;
  private reportedAt = Number.NEGATIVE_INFINITY;
  private isRecoveryReported = true;
  /** Until when the directory permits this gateway to be not ready because of overload (monotonic, milliseconds). */
  private mayLeaveUntil = Number.NEGATIVE_INFINITY;
  private wasLeaving = false;

  constructor(private readonly options: GatewayHealthOptions) {
    this.now = options.now ?? monotonicMs;
    options.metrics.observe(this);
  }

  /** Whether the configuration in force activates this part. */
  get isActive(): boolean {
    return this.timer !== undefined;
  }

  /** Whether the gateway is neither cut off nor permitted to leave because it is overloaded. */
  get isReady(): boolean {
    return !this.isCutOff && !this.hasLeft;
  }

  get isCutOff(): boolean {
    return this.cutOff.isCutOff;
  }

  get isOverloaded(): boolean {
    return this.overload.isOverloaded;
  }

  /** Load of the event loop in the latest interval. */
  get eventLoopLoad(): EventLoopLoad {
    return this.load;
  }

  setMode(mode: SchedulingMode): void {
    if (mode === 'independent') this.stop();
    else if (!this.isActive) this.start();
  }

  stop(): void {
    if (!this.isActive) return;
    clearInterval(this.timer);
    this.timer = undefined;
    this.options.meter.stop();
    this.cutOff = new CutOffDetector();
    this.overload = new OverloadDetector();
    this.load = NO_LOAD;
    this.isRecoveryReported = true;
    this.wasLeaving = false;
    this.options.signal.set(false);
  }

  /** The report for the next watch request, if one is due; a gateway that is not overloaded reports nothing. */
  nextReport(): HealthReport | undefined {
    const { isOverloaded, hasLeft } = this;
    const now = this.now();
    if (!this.isActive) return undefined;
    if (!isOverloaded && this.isRecoveryReported) return undefined;
    if (now - this.reportedAt < REPORT_INTERVAL_MS) return undefined;
    this.reportedAt = now;
    this.isRecoveryReported = !isOverloaded;
    return { isOverloaded, hasLeft };
  }

  /** @param requestedAt time at which the answered request was sent (monotonic, milliseconds) */
  applyZoneHealth({ mayLeave, gateways, overloaded }: ZoneHealth, requestedAt: number): void {
    this.mayLeaveUntil = mayLeave ? requestedAt + HEALTH_TTL_MS : Number.NEGATIVE_INFINITY;
    this.noteLeaving({ gateways, overloaded });
  }

  /** Evaluates the current state; called by a timer. */
  update(): void {
    const now = this.now();
    this.updateCutOff(now);
    this.updates += 1;
    if (this.updates % UPDATES_PER_MEASUREMENT === 0) this.measure(now);
    this.noteLeaving();
  }

  private get hasLeft(): boolean {
    return this.isOverloaded && this.now() < this.mayLeaveUntil;
  }

  private start(): void {
    this.options.meter.start();
    this.timer = setInterval(() => this.update(), UPDATE_INTERVAL_MS);
    this.timer.unref();
  }

  private updateCutOff(now: number): void {
    const { signal, logger, metrics } = this.options;
    const directory = this.directoryContact();
    const ledger = this.ledgerContact();
    const wasCutOff = this.isCutOff;
    this.cutOff.update(now, directory, ledger);
    if (this.isCutOff || directory.silenceMs >= PROBE_SILENCE_MS) this.probeLedger(ledger);
    signal.set(this.isCutOff);
    if (this.isCutOff === wasCutOff) return;
    if (this.isCutOff) metrics.noteUnready('cut-off');
    const fields = {
      directorySilenceMs: Math.round(directory.silenceMs),
      ledgerSilenceMs: Math.round(ledger.silenceMs),
    };
    if (this.isCutOff) logger.warn('gateway cut off', fields);
    else logger.info('gateway not cut off any more', fields);
  }

  private probeLedger({ answeredAgeMs }: LeaderContact): void {
    const { ledger, hasLedger } = this.options;
    if (hasLedger() && answeredAgeMs >= PROBE_INTERVAL_MS) void ledger.probe();
  }

  private directoryContact(): LeaderContact {
    const { directoryLeader, directoryHoldMs } = this.options;
    const answeredAgeMs = directoryLeader()?.ageMs ?? Infinity;
    return { silenceMs: Math.max(0, answeredAgeMs - directoryHoldMs), answeredAgeMs };
  }

  private ledgerContact(): LeaderContact {
    const { ledger, hasLedger } = this.options;
    if (!hasLedger()) return ANSWERING;
    const { silenceMs, answeredAgeMs } = ledger;
    return { silenceMs, answeredAgeMs };
  }

  private measure(now: number): void {
    const { meter, logger } = this.options;
    const wasOverloaded = this.isOverloaded;
    this.load = meter.read(wasOverloaded);
    this.overload.update(now, this.load);
    if (this.isOverloaded === wasOverloaded) return;
    if (!this.isOverloaded) this.isRecoveryReported = false;
    const fields = {
      utilization: Number(this.load.utilization.toFixed(2)),
      delayMs: Math.round(this.load.delayMs),
    };
    if (this.isOverloaded) logger.warn('gateway overloaded', fields);
    else logger.info('gateway not overloaded any more', fields);
  }

  private noteLeaving(zone: { gateways?: number; overloaded?: number } = {}): void {
    const { hasLeft } = this;
    if (hasLeft === this.wasLeaving) return;
    this.wasLeaving = hasLeft;
    if (hasLeft) this.options.metrics.noteUnready('overloaded');
    const message = hasLeft ? 'gateway left its zone' : 'gateway back in its zone';
    this.options.logger.info(message, zone);
  }
}
