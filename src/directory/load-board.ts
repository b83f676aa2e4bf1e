/** Calls in flight by gateway and backend, as reported in watch requests. */
import { monotonicMs } from '../common/index.js';
import { type LoadTotals, packSums } from './load-totals.js';
import type { BackendLoad } from './messages.js';

/** Time after which a report expires. */
const REPORT_TTL_MS = 1_500;
/** Minimum time between checks for expired reports. */
const EXPIRY_INTERVAL_MS = 250;

/** Maximum fraction of time spent on packing the sums. */
const MAX_PACKING_FRACTION = 0.02;
/** Maximum age of packed sums: half of a long poll. */
const MAX_SNAPSHOT_AGE_MS = 100;

interface LoadReport {
  loads: readonly BackendLoad[];
  at: number;
}

/** Packed sums at one point in time. */
interface Snapshot {
  sums: Uint8Array;
  /** Reports that the sums include. */
  reports: ReadonlyMap<string, LoadReport>;
  /** Monotonic, in milliseconds. */
  validUntil: number;
}

/**
 * Maintains the sums of all reports incrementally and shares one packed snapshot between gateways that request it at
 * about the same time.
 */
export class LoadReportStore {
  private readonly reports = new Map<string, LoadReport>();
  private readonly sums = new Map<string, number>();
  private expiredAt = Number.NEGATIVE_INFINITY;
  private snapshot: Snapshot | undefined;

  /** @param snapshotTtlMs lifetime of a snapshot, computed from the time that packing took, in milliseconds */
  constructor(private readonly snapshotTtlMs = defaultSnapshotTtlMs) {}

  report(gateway: string, loads: readonly BackendLoad[]): void {
    this.removeReport(gateway);
    this.reports.set(gateway, { loads, at: monotonicMs() });
    for (const { id, inFlight } of loads) this.add(id, inFlight);
  }

  /** Calls of all gateways by backend, and the part of them that `gateway` reported. */
  totalsFor(gateway: string): LoadTotals {
    const { sums, reports } = this.currentSnapshot();
    return { sums, own: reports.get(gateway)?.loads ?? [] };
  }

  clear(): void {
    this.reports.clear();
    this.sums.clear();
    this.snapshot = undefined;
  }

  private currentSnapshot(): Snapshot {
    const { snapshot } = this;
    const startedAt = monotonicMs();
    if (snapshot && startedAt < snapshot.validUntil) return snapshot;
    this.expire();
    const sums = packSums(this.sums);
    const packedAt = monotonicMs();
    const ttlMs = this.snapshotTtlMs(packedAt - startedAt);
    this.snapshot = { sums, reports: new Map(this.reports), validUntil: packedAt + ttlMs };
    return this.snapshot;
  }

  private expire(): void {
    const now = monotonicMs();
    if (now - this.expiredAt < EXPIRY_INTERVAL_MS) return;
    this.expiredAt = now;
    for (const [gateway, { at }] of this.reports) {
      if (now - at > REPORT_TTL_MS) this.removeReport(gateway);
    }
  }

  private removeReport(gateway: string): void {
    for (const { id, inFlight } of this.reports.get(gateway)?.loads ?? []) this.add(id, -inFlight);
    this.reports.delete(gateway);
  }

  private add(id: string, inFlight: number): void {
    const sum = (this.sums.get(id) ?? 0) + inFlight;
    if (sum === 0) this.sums.delete(id);
    else this.sums.set(id, sum);
  }
}

function defaultSnapshotTtlMs(packingMs: number): number {
  return Math.min(MAX_SNAPSHOT_AGE_MS, packingMs / MAX_PACKING_FRACTION);
}
