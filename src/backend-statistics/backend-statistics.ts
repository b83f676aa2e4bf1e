/**
 * Shared backend statistics at one gateway: counts its own calls for the directory's leader and keeps the conditions
 * that the leader merges from all gateways. Active only in the scheduling mode `coordinated`.
 */
import { monotonicMs } from '../common/index.js';
import type { SchedulingMode } from '../routes/index.js';
import { type AttemptEnd, isLowerBound, resultOfAttempt } from './attempt-result.js';
import { type StatisticsReport, unpackConditions } from './messages.js';
import { SharedConditions } from './shared-conditions.js';
import { StatisticsCollector } from './statistics-collector.js';
import { StatisticsMetrics } from './statistics-metrics.js';

export interface BackendStatisticsOptions {
  /** The zone of this gateway. */
  zone: string;
  metrics?: StatisticsMetrics;
  /** Monotonic clock, in milliseconds. */
  clock?: () => number;
}

export class BackendStatistics {
  /** Whether the scheduling mode is `coordinated`. */
  isActive = false;
  private readonly collector: StatisticsCollector;
  private readonly conditions: SharedConditions;

  constructor(private readonly options: BackendStatisticsOptions) {
    const clock = options.clock ?? monotonicMs;
    this.collector = new StatisticsCollector(clock);
    this.conditions = new SharedConditions(options.zone, clock);
    options.metrics?.addGauges(this.conditions);
  }

  setMode(mode: SchedulingMode): void {
    this.isActive = mode === 'coordinated';
    if (this.isActive) return;
    this.collector.clear();
    this.conditions.clear();
  }

  /** The report for the next watch request, if one is due. */
  takeReport(): StatisticsReport | undefined {
    const report = this.isActive ? this.collector.takeReport() : undefined;
    if (report) this.options.metrics?.reports.inc();
    return report;
  }

  /** @param packed conditions of all backends; undefined if the leader knows too little, which changes nothing */
  apply(packed: Uint8Array | undefined): void {
    if (packed && this.isActive) this.conditions.apply(unpackConditions(packed));
  }

  /** Latency of a backend relative to the median of its service; 1 is normal. */
  slowdownOf(id: string): number {
    return this.isActive ? this.conditions.slowdownOf(id) : 1;
  }

  /** Whether a backend fails for callers of this gateway's zone. */
  isFailing(id: string): boolean {
    return this.isActive && this.conditions.isFailing(id);
  }

  /** @param expectedMs predicted latency on a backend of normal speed */
  noteDuration(id: string, tookMs: number, expectedMs: number): void {
    if (this.isActive) this.collector.noteDuration(id, tookMs, expectedMs);
  }

  noteAttempt(id: string, end: AttemptEnd): void {
    if (!this.isActive) return;
    const result = resultOfAttempt(end);
    this.options.metrics?.attempts.inc({ result });
    if (result === 'success' || result === 'failure') {
      const isFailure = result === 'failure';
      this.collector.noteResult(id, isFailure, isFailure || this.isFailing(id));
    }
    if (isLowerBound(end)) {
      this.collector.noteDuration(id, end.tookMs, end.estimatedMs / end.slowdown);
    }
  }

  /** Records that a call is sent to a failing backend to find out whether it has recovered. */
  noteProbe(): void {
    this.options.metrics?.probes.inc();
  }
}
