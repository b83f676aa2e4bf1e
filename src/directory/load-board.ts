/** Calls under way by gateway and back end, as gateways report them while they watch. */
import { monotonicMs } from '../common/index.js';
import { type LoadTotals, packSums } from './load-totals.js';
import type { BackendLoad } from './messages.js';

/** A report older than this says nothing any more, in milliseconds. */
const REPORT_VALID_MS = 1_500;
/** Old reports are looked for at most so often, in milliseconds: a fraction of their validity. */
const EXPIRY_INTERVAL_MS = 250;

/** Packing the sums takes at most this share of the time, however many back ends are in use. */
const PACKING_SHARE = 0.02;
/** Packed sums are no older than this, in milliseconds: half of the time for which a question is held. */
const LONGEST_VALID_MS = 100;

interface LoadReport {
  loads: readonly BackendLoad[];
  at: number;
}

/** The sums of some moment, packed. */
interface Snapshot {
  sums: Uint8Array;
  /** What the sums are made of. */
  reports: ReadonlyMap<string, LoadReport>;
  /** Monotonic, in milliseconds. */
  validUntil: number;
}

/**
 * Keeps the sums of all reports, so that a report costs what it holds, and packs them once for all gateways that ask at
 * about the same time.
 */
export class LoadReportStore {
  private readonly reports = new Map<string, LoadReport>();
  private readonly sums = new Map<string, number>();
  private expiredAt = Number.NEGATIVE_INFINITY;
  private snapshot: Snapshot | undefined;

  /** @param validMsAfter how long sums may be used that took so long to pack, in milliseconds */
  constructor(private readonly validMsAfter = validityOf) {}

  report(gateway: string, loads: readonly BackendLoad[]): void {
    this.withdraw(gateway);
    this.reports.set(gateway, { loads, at: monotonicMs() });
    for (const { id, inFlight } of loads) this.add(id, inFlight);
  }

  /** All calls by back end, a moment old at most, and the asker's part of them. */
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
    const validMs = this.validMsAfter(packedAt - startedAt);
    this.snapshot = { sums, reports: new Map(this.reports), validUntil: packedAt + validMs };
    return this.snapshot;
  }

  private expire(): void {
    const now = monotonicMs();
    if (now - this.expiredAt < EXPIRY_INTERVAL_MS) return;
    this.expiredAt = now;
    for (const [gateway, { at }] of this.reports) {
      if (now - at > REPORT_VALID_MS) this.withdraw(gateway);
    }
  }

  private withdraw(gateway: string): void {
    for (const { id, inFlight } of this.reports.get(gateway)?.loads ?? []) this.add(id, -inFlight);
    this.reports.delete(gateway);
  }

  private add(id: string, inFlight: number): void {
    const sum = (this.sums.get(id) ?? 0) + inFlight;
    if (sum === 0) this.sums.delete(id);
    else this.sums.set(id, sum);
  }
}

function validityOf(packingMs: number): number {
  return Math.min(LONGEST_VALID_MS, packingMs / PACKING_SHARE);
}
