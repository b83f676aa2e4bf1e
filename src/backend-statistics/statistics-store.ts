/** Statistics of backends as the directory's leader merges them from the latest report of each gateway. */
import { groupBy, monotonicMs, remainingAfter } from '../common/index.js';
import type { Logger } from '../observability/index.js';
import { clampLogRatio } from '../performance/index.js';
import { type FailureCounts, addGateway, emptyCounts } from './failure-counts.js';
import {
  type BackendCondition,
  type BackendTally,
  FAILURE_HALF_LIFE_MS,
  SLOWDOWN_HALF_LIFE_MS,
  type StatisticsReport,
  decodeReport,
  packConditions,
} from './messages.js';
import { type RatioSample, mergeSlowdowns } from './slowdown-merge.js';
import { ZoneFailures } from './zone-failures.js';

/** Time after which a report expires, in milliseconds. */
const REPORT_TTL_MS = 1_500;
/** Minimum time between two merges, in milliseconds: half of a long poll. */
const MERGE_INTERVAL_MS = 100;
/** Minimum time between two merges of the slowdowns, in milliseconds: a fifth of their half-life. */
const SLOWDOWN_INTERVAL_MS = 400;
/**
 * Time after the first report for which there is no view, in milliseconds. Every gateway reports within it, so that
 * gateways keep the figures of the previous leader until the new one knows as much.
 */
const WARM_UP_MS = 1_000;
/** Difference of a factor from 1 below which it is left out of the view. */
const NEGLIGIBLE_SLOWDOWN = 0.05;

export interface BackendStatisticsStoreOptions {
  /** Registered backends by id. */
  backends: () => ReadonlyMap<string, { readonly service: string }>;
  logger: Logger;
  /** Called when a backend begins or ceases to fail, so that gateways learn of it at once. */
  onFailingChange?: () => void;
  /** Monotonic clock, in milliseconds. */
  clock?: () => number;
}

interface StoredReport {
  zone: string;
  tallies: readonly BackendTally[];
  at: number;
}

export class BackendStatisticsStore {
  private readonly reports = new Map<string, StoredReport>();
  private readonly failures = new Map<string, ZoneFailures>();
  private failingZones = new Map<string, string[]>();
  private slowdowns = new Map<string, number>();
  private slowdownsMergedAt = Number.NEGATIVE_INFINITY;
  /** Number of changes of the failing backends. */
  failingVersion = 0;
  private firstReportAt: number | undefined;
  private mergedAt = Number.NEGATIVE_INFINITY;
  private packed: Uint8Array | undefined;
  private readonly clock: () => number;

  constructor(private readonly options: BackendStatisticsStoreOptions) {
    this.clock = options.clock ?? monotonicMs;
  }

  /** Replaces the report of a gateway. */
  report(gateway: string, zone: string, report: StatisticsReport): void {
    const at = this.clock();
    this.firstReportAt ??= at;
    this.reports.set(gateway, { zone, tallies: decodeReport(report), at });
    this.mergeIfDue();
  }

  /** Packed conditions of the backends that differ from normal; undefined while too little is known. */
  viewFor(): Uint8Array | undefined {
    this.mergeIfDue();
    return this.packed;
  }

  /** Slowdown of a backend in the latest merge; undefined if it is not known to differ from normal. */
  slowdownOf(id: string): number | undefined {
    return this.slowdowns.get(id);
  }

  clear(): void {
    this.reports.clear();
    this.failures.clear();
    this.failingZones.clear();
    this.slowdowns.clear();
    this.slowdownsMergedAt = Number.NEGATIVE_INFINITY;
    this.firstReportAt = undefined;
    this.packed = undefined;
  }

  /** Also called for each report, so that waiting watchers learn at once of a backend that begins to fail. */
  private mergeIfDue(): void {
    const now = this.clock();
    if (this.firstReportAt === undefined || now - this.mergedAt < MERGE_INTERVAL_MS) return;
    this.mergedAt = now;
    this.expire(now);
    if (this.reports.size === 0) {
      this.clear();
      return;
    }
    const conditions = this.merge(now);
    const isWarm = now - this.firstReportAt >= WARM_UP_MS;
    this.packed = isWarm ? packConditions(conditions) : undefined;
  }

  private expire(now: number): void {
    for (const [gateway, { at }] of this.reports) {
      if (now - at > REPORT_TTL_MS) this.reports.delete(gateway);
    }
  }

  private merge(now: number): BackendCondition[] {
    if (now - this.slowdownsMergedAt >= SLOWDOWN_INTERVAL_MS) {
      this.slowdownsMergedAt = now;
      this.slowdowns = this.mergeSlowdowns(now);
    }
    this.updateFailures(now);
    const ids = new Set([...this.slowdowns.keys(), ...this.failingZones.keys()]);
    return [...ids].map((id) => {
      const [slowdown, failingZones] = [this.slowdowns.get(id), this.failingZones.get(id)];
      return { id, ...(slowdown && { slowdown }), ...(failingZones && { failingZones }) };
    });
  }

  /** Slowdown factors of registered backends that differ from normal. */
  private mergeSlowdowns(now: number): Map<string, number> {
    const samples = this.ratioSamples(now);
    const byService = groupBy(this.options.backends(), ([, { service }]) => service);
    const factors = new Map<string, number>();
    for (const backends of byService.values()) {
      const known = backends.filter(([id]) => samples.has(id));
      const ofService = new Map(known.map(([id]) => [id, samples.get(id)!]));
      for (const [id, log] of mergeSlowdowns(ofService, backends.length)) {
        const factor = Math.exp(log);
        if (Math.abs(factor - 1) >= NEGLIGIBLE_SLOWDOWN) factors.set(id, factor);
      }
    }
    return factors;
  }

  private ratioSamples(now: number): Map<string, RatioSample[]> {
    const samples = new Map<string, RatioSample[]>();
    for (const { tallies, at } of this.reports.values()) {
      const left = remainingAfter(now - at, SLOWDOWN_HALF_LIFE_MS);
      for (const { id, weight, logRatios } of tallies) {
        if (weight === 0) continue;
        // No honest report has a mean beyond the bounds of single calls.
        const sample = { weight: weight * left, mean: clampLogRatio(logRatios / weight) };
        const ofBackend = samples.get(id);
        if (ofBackend) ofBackend.push(sample);
        else samples.set(id, [sample]);
      }
    }
    return samples;
  }

  private updateFailures(now: number): void {
    this.retainRegistered();
    const counts = this.failureCounts(now);
    const failing = new Map<string, string[]>();
    for (const [id, failures] of this.failures) {
      const zones = failures.update(counts.get(id)!, now);
      if (zones.length > 0) failing.set(id, zones);
    }
    this.noteChanges(failing);
  }

  private retainRegistered(): void {
    const backends = this.options.backends();
    for (const id of this.failures.keys()) if (!backends.has(id)) this.failures.delete(id);
    for (const id of backends.keys()) {
      if (!this.failures.has(id)) this.failures.set(id, new ZoneFailures());
    }
  }

  /** Counts by registered backend and zone of the callers. */
  private failureCounts(now: number): Map<string, Map<string, FailureCounts>> {
    const counts = new Map<string, Map<string, FailureCounts>>();
    for (const id of this.failures.keys()) counts.set(id, new Map());
    for (const { zone, tallies, at } of this.reports.values()) {
      const left = remainingAfter(now - at, FAILURE_HALF_LIFE_MS);
      for (const { id, calls, failures } of tallies) {
        const byZone = calls > 0 ? counts.get(id) : undefined;
        if (!byZone) continue;
        let ofZone = byZone.get(zone);
        if (!ofZone) {
          ofZone = emptyCounts();
          byZone.set(zone, ofZone);
        }
        addGateway(ofZone, calls * left, failures * left);
      }
    }
    return counts;
  }

  private noteChanges(failing: Map<string, string[]>): void {
    const before = this.failingZones;
    const begun = [...failing].filter(([id, zones]) => before.get(id)?.join() !== zones.join());
    const ended = [...before.keys()].filter((id) => !failing.has(id));
    this.failingZones = failing;
    if (begun.length + ended.length === 0) return;
    const { logger } = this.options;
    for (const [id, zones] of begun) logger.warn('back end failing', { id, zones: zones.join() });
    for (const id of ended) logger.info('back end no longer failing', { id });
    this.failingVersion += 1;
    this.options.onFailingChange?.();
  }
}
