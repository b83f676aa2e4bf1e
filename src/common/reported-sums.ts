/** Sums of counts by key over the latest report of each gateway. */
import { monotonicMs } from './clock.js';

/** Time after which a report expires, in milliseconds. */
const REPORT_TTL_MS = 1_500;
/** Minimum time between checks for expired reports, in milliseconds. */
const EXPIRY_INTERVAL_MS = 250;

/** The latest report of one gateway. */
export interface GatewayReport<Entry> {
  entries: readonly Entry[];
  /** When it arrived (monotonic, milliseconds). */
  at: number;
}

/** How to read an entry of a report. */
export interface EntryReader<Entry> {
  keyOf: (entry: Entry) => string;
  countOf: (entry: Entry) => number;
}

/** Maintains the sums incrementally, so that reading them does not cost a pass over all reports. */
export class ReportedSums<Entry> {
  private readonly latest = new Map<string, GatewayReport<Entry>>();
  private readonly totals = new Map<string, number>();
  private expiredAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly reader: EntryReader<Entry>) {}

  /** Latest reports by gateway. */
  get reports(): ReadonlyMap<string, GatewayReport<Entry>> {
    return this.latest;
  }

  /** Sums by key; keys whose sum is 0 are left out. */
  get sums(): ReadonlyMap<string, number> {
    return this.totals;
  }

  /** Replaces the report of a gateway. */
  report(gateway: string, entries: readonly Entry[]): void {
    this.remove(gateway);
    this.latest.set(gateway, { entries, at: monotonicMs() });
    for (const entry of entries) this.add(entry, 1);
  }

  /** Removes the reports of gateways that have not reported for a while. */
  expire(): void {
    const now = monotonicMs();
    if (now - this.expiredAt < EXPIRY_INTERVAL_MS) return;
    this.expiredAt = now;
    for (const [gateway, { at }] of this.latest) {
      if (now - at > REPORT_TTL_MS) this.remove(gateway);
    }
  }

  clear(): void {
    this.latest.clear();
    this.totals.clear();
  }

  private remove(gateway: string): void {
    for (const entry of this.latest.get(gateway)?.entries ?? []) this.add(entry, -1);
    this.latest.delete(gateway);
  }

  private add(entry: Entry, sign: 1 | -1): void {
    const key = this.reader.keyOf(entry);
    const sum = (this.totals.get(key) ?? 0) + sign * this.reader.countOf(entry);
    if (sum === 0) this.totals.delete(key);
    else this.totals.set(key, sum);
  }
}
