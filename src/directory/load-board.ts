/** Calls in flight by gateway and backend, as reported in watch requests. */
import { type GatewayReport, ReportedSums, monotonicMs } from '../common/index.js';
import { type LoadTotals, packSums } from './load-totals.js';
import type { BackendLoad } from './messages.js';

/** Maximum fraction of time spent on packing the sums. */
const MAX_PACKING_FRACTION = 0.02;
/** Maximum age of packed sums: half of a long poll. */
const MAX_SNAPSHOT_AGE_MS = 100;

/** Packed sums at one point in time. */
interface Snapshot {
  sums: Uint8Array;
  /** Reports that the sums include. */
  reports: ReadonlyMap<string, GatewayReport<BackendLoad>>;
  /** Monotonic, in milliseconds. */
  validUntil: number;
}

/** Shares one packed snapshot of the sums between gateways that request it at about the same time. */
export class LoadReportStore {
  private readonly loads = new ReportedSums<BackendLoad>({
    keyOf: ({ id }) => id,
    countOf: ({ inFlight }) => inFlight,
  });
  private snapshot: Snapshot | undefined;

  /** @param snapshotTtlMs lifetime of a snapshot, computed from the time that packing took, in milliseconds */
  constructor(private readonly snapshotTtlMs = defaultSnapshotTtlMs) {}

  report(gateway: string, loads: readonly BackendLoad[]): void {
    this.loads.report(gateway, loads);
  }

  /** Calls of all gateways by backend, and the part of them that `gateway` reported. */
  totalsFor(gateway: string): LoadTotals {
    const { sums, reports } = this.currentSnapshot();
    return { sums, own: reports.get(gateway)?.entries ?? [] };
  }

  clear(): void {
    this.loads.clear();
    this.snapshot = undefined;
  }

  private currentSnapshot(): Snapshot {
    const { snapshot } = this;
    const startedAt = monotonicMs();
    if (snapshot && startedAt < snapshot.validUntil) return snapshot;
    this.loads.expire();
    const sums = packSums(this.loads.sums);
    const packedAt = monotonicMs();
    const ttlMs = this.snapshotTtlMs(packedAt - startedAt);
    this.snapshot = { sums, reports: new Map(this.loads.reports), validUntil: packedAt + ttlMs };
    return this.snapshot;
  }
}

function defaultSnapshotTtlMs(packingMs: number): number {
  return Math.min(MAX_SNAPSHOT_AGE_MS, packingMs / MAX_PACKING_FRACTION);
}
