/** Leader side of the waiting counts: the latest report of each gateway, summed over the other gateways. */
import { ReportedSums } from '../common/index.js';
import { DEFAULT_QUEUE_BOUNDS } from './call-queue.js';
import type { WaitingCount } from './waiting-call.js';

export class WaitingReportStore {
  private readonly counts = new ReportedSums<WaitingCount>({
    keyOf: ({ service }) => service,
    countOf: ({ calls }) => calls,
  });

  /** @param counts waiting calls of the gateway; undefined if its last report still holds */
  report(gateway: string, counts: readonly WaitingCount[] | undefined): void {
    if (counts) this.counts.report(gateway, mergedCounts(counts));
  }

  /** Waiting calls of the other gateways; undefined if there are none. */
  viewFor(gateway: string): WaitingCount[] | undefined {
    this.counts.expire();
    const { reports, sums } = this.counts;
    if (sums.size === 0) return undefined;
    const others = new Map(sums);
    for (const { service, calls } of reports.get(gateway)?.entries ?? []) {
      others.set(service, (others.get(service) ?? 0) - calls);
    }
    const counts = [...others]
      .filter(([, calls]) => calls > 0)
      .map(([service, calls]) => ({ service, calls }));
    return counts.length > 0 ? counts : undefined;
  }

  clear(): void {
    this.counts.clear();
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
