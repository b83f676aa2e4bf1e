/** Statistics of backends as the directory's leader merges them from the latest report of each gateway. */
import { groupBy, monotonicMs } from '../common/index.js';
import type { Logger } from '../observability/index.js';
import { remainingAfter } from './decay.js';
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
/**
 * Time after the first report for which there is no view, in milliseconds. Every gateway reports within it, so that
 * gateways keep the figures of the previous leader until the new one knows as much.
 */
const WARM_UP_MS = 600;
/** Difference of a factor from 1 below which it is left out of the view. */
const NEGLIGIBLE_SLOWDOWN = 0.05;

export interface BackendStatisticsStoreOptions {
  /** Registered backends by id. */
  backends: () => ReadonlyMap<string, { readonly service: string }>;
  logger: Logger;
  /** Monotonic clock, in milliseconds. */
  clock?: () => number;
}

interface StoredReport {
  zone: string;
  tallies: readonly BackendTally[];
  at: number;
}

/** The part of one gateway in the statistics of a backend, decayed to the time of the merge. */
interface Contribution extends BackendTally {
  zone: string;
}

export class BackendStatisticsStore {
  private readonly reports = new Map<string, StoredReport>();
  private readonly failures = new Map<string, ZoneFailures>();
  private failingZones = new Map<string, string[]>();
  private firstReportAt: number | undefined;
  private mergedAt = Number.NEGATIVE_INFINITY;
  private packed: Uint8Array | undefined;
  /** Slowdown factors of the latest merge that differ from normal. */
  private slowdowns: ReadonlyMap<string, number> = new Map();
  private readonly clock: () => number;

  constructor(private readonly options: BackendStatisticsStoreOptions) {
    this.clock = options.clock ?? monotonicMs;
  }

  /** Replaces the report of a gateway. */
  report(gateway: string, zone: string, report: StatisticsReport): void {
    const at = this.clock();
    this.firstReportAt ??= at;
    this.reports.set(gateway, { zone, tallies: decodeReport(report), at });
  }

  /** Packed conditions of the backends that differ from normal; undefined while too little is known. */
  viewFor(): Uint8Array | undefined {
    if (this.firstReportAt === undefined) return undefined;
    const now = this.clock();
    if (now - this.mergedAt < MERGE_INTERVAL_MS) return this.packed;
    this.mergedAt = now;
    this.expire(now);
    if (this.reports.size === 0) {
      this.clear();
      return undefined;
    }
    const conditions = this.merge(now);
    const isWarm = now - this.firstReportAt >= WARM_UP_MS;
    this.packed = isWarm ? packConditions(conditions) : undefined;
    return this.packed;
  }

  /** Slowdown of a backend in the latest merge; undefined if it is not known to differ from normal. */
  slowdownOf(id: string): number | undefined {
    return this.slowdowns.get(id);
  }

  clear(): void {
    this.reports.clear();
    this.slowdowns = new Map();
    this.failures.clear();
    this.failingZones.clear();
    this.firstReportAt = undefined;
    this.packed = undefined;
  }

  private expire(now: number): void {
    for (const [gateway, { at }] of this.reports) {
      if (now - at > REPORT_TTL_MS) this.reports.delete(gateway);
    }
  }

  private merge(now: number): BackendCondition[] {
    const byBackend = groupBy(this.contributions(now), ({ id }) => id);
    const slowdowns = this.slowdownsOf(byBackend);
    this.slowdowns = slowdowns;
    this.updateFailures(byBackend, now);
    const ids = new Set([...slowdowns.keys(), ...this.failingZones.keys()]);
    return [...ids].map((id) => ({
      id,
      ...(slowdowns.has(id) && { slowdown: slowdowns.get(id)! }),
      ...(this.failingZones.has(id) && { failingZones: this.failingZones.get(id)! }),
    }));
  }

  /** Parts of all gateways for the backends that are registered now. */
  private *contributions(now: number): Generator<Contribution> {
    const backends = this.options.backends();
    for (const { zone, tallies, at } of this.reports.values()) {
      const ofSlowdown = remainingAfter(now - at, SLOWDOWN_HALF_LIFE_MS);
      const ofCalls = remainingAfter(now - at, FAILURE_HALF_LIFE_MS);
      for (const { id, weight, logRatios, calls, failures } of tallies) {
        if (!backends.has(id)) continue;
        yield {
          id,
          zone,
          weight: weight * ofSlowdown,
          logRatios: logRatios * ofSlowdown,
          calls: calls * ofCalls,
          failures: failures * ofCalls,
        };
      }
    }
  }

  /** Slowdown factors that differ from normal. */
  private slowdownsOf(byBackend: ReadonlyMap<string, Contribution[]>): Map<string, number> {
    const byService = groupBy(this.options.backends(), ([, { service }]) => service);
    const factors = new Map<string, number>();
    for (const backends of byService.values()) {
      const known = backends.filter(([id]) => byBackend.has(id));
      const samples = new Map(known.map(([id]) => [id, ratioSamples(byBackend.get(id)!)]));
      for (const [id, log] of mergeSlowdowns(samples, backends.length)) {
        const factor = Math.exp(log);
        if (Math.abs(factor - 1) >= NEGLIGIBLE_SLOWDOWN) factors.set(id, factor);
      }
    }
    return factors;
  }

  private updateFailures(byBackend: ReadonlyMap<string, Contribution[]>, now: number): void {
    const backends = this.options.backends();
    for (const id of this.failures.keys()) {
      if (!backends.has(id)) this.failures.delete(id);
    }
    for (const id of byBackend.keys()) {
      if (!this.failures.has(id)) this.failures.set(id, new ZoneFailures());
    }
    const failing = new Map<string, string[]>();
    for (const [id, failures] of this.failures) {
      const byZone = groupBy(byBackend.get(id) ?? [], ({ zone }) => zone);
      const zones = failures.update(byZone, now);
      if (zones.length > 0) failing.set(id, zones);
    }
    this.logChanges(failing);
    this.failingZones = failing;
  }

  private logChanges(failing: ReadonlyMap<string, string[]>): void {
    const { logger } = this.options;
    for (const [id, zones] of failing) {
      const text = zones.join(',');
      if (this.failingZones.get(id)?.join(',') === text) continue;
      logger.warn('back end failing', { id, zones: text });
    }
    for (const id of this.failingZones.keys()) {
      if (!failing.has(id)) logger.info('back end no longer failing', { id });
    }
  }
}

function ratioSamples(parts: readonly Contribution[]): RatioSample[] {
  return parts
    .filter(({ weight }) => weight > 0)
    .map(({ weight, logRatios }) => ({ weight, mean: logRatios / weight }));
}
