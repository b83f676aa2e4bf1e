/** Leader side of the waiting counts: the latest report of each gateway, summed over the other gateways. */
import { monotonicMs } from '../common/index.js';
import { DEFAULT_QUEUE_BOUNDS } from './call-queue.js';
import type { WaitingCount } from './waiting-call.js';

/** Time after which a report expires, in milliseconds. */
const REPORT_TTL_MS = 1_500;
/** Minimum time between checks for expired reports, in milliseconds. */
const EXPIRY_INTERVAL_MS = 250;

interface WaitingReport {
  counts: readonly WaitingCount[];
  /** Monotonic, in milliseconds. */
  at: number;
}

export class WaitingReportStore {
  private readonly reports = new Map<string, WaitingReport>();
  private readonly sums = new Map<string, number>();
  private expiredAt = Number.NEGATIVE_INFINITY;

  /** @param counts waiting calls of the gateway; undefined if its last report still holds */
  report(gateway: string, counts: readonly WaitingCount[] | undefined): void {
    if (!counts) return;
    this.remove(gateway);
    const merged = mergedCounts(counts);
    if (merged.length === 0) return;
    this.reports.set(gateway, { counts: merged, at: monotonicMs() });
    for (const { service, calls } of merged) this.add(service, calls);
  }

  /** Waiting calls of the other gateways; undefined if there are none. */
  viewFor(gateway: string): WaitingCount[] | undefined {
    this.expire();
    if (this.sums.size === 0) return undefined;
    const others = new Map(this.sums);
    for (const { service, calls } of this.reports.get(gateway)?.counts ?? []) {
      others.set(service, (others.get(service) ?? 0) - calls);
    }
    const counts = [...others]
      .filter(([, calls]) => calls > 0)
      .map(([service, calls]) => ({ service, calls }));
    return counts.length > 0 ? counts : undefined;
  }

  clear(): void {
    this.reports.clear();
    this.sums.clear();
  }

  private expire(): void {
    const now = monotonicMs();
    if (now - this.expiredAt < EXPIRY_INTERVAL_MS) return;
    this.expiredAt = now;
    for (const [gateway, { at }] of this.reports)
      if (now - at > REPORT_TTL_MS) this.remove(gateway);
  }

  private remove(gateway: string): void {
    for (const { service, calls } of this.reports.get(gateway)?.counts ?? []) {
      this.add(service, -calls);
    }
    this.reports.delete(gateway);
  }

  private add(service: string, calls: number): void {
    const sum = (this.sums.get(service) ?? 0) + calls;
    if (sum === 0) this.sums.delete(service);
    else this.sums.set(service, sum);
  }
}

/**
 * The valid counts with one entry for each service. A gateway can't hold more calls than its queue in total; a false
 * report must not take the others' share of the places.
 */
function mergedCounts(counts: readonly WaitingCount[]): WaitingCount[] {
  const merged = new Map<string, number>();
  let total = 0;
  for (const { service, calls } of counts.filter(isPlausible)) {
    merged.set(service, (merged.get(service) ?? 0) + calls);
    total += calls;
  }
  if (total > DEFAULT_QUEUE_BOUNDS.calls) return [];
  return [...merged].map(([service, calls]) => ({ service, calls }));
}

function isPlausible({ service, calls }: WaitingCount): boolean {
  const isCount = Number.isInteger(calls) && calls > 0 && calls <= DEFAULT_QUEUE_BOUNDS.calls;
  return typeof service === 'string' && isCount;
}
