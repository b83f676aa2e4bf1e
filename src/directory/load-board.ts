/** Calls under way by gateway and back end, as gateways report them while they watch. */
import { monotonicMs } from '../common/index.js';
import type { BackendLoad } from './messages.js';

/** A report older than this says nothing any more, in milliseconds. */
const REPORT_VALID_MS = 1_500;
/** Old reports are looked for at most so often, in milliseconds: a fraction of their validity. */
const EXPIRY_INTERVAL_MS = 250;

interface LoadReport {
  loads: readonly BackendLoad[];
  at: number;
}

/**
 * Keeps the sums of all reports, so that a report costs what it holds, and a question the number of
 * back ends in use, however many gateways there are.
 */
export class LoadBoard {
  private readonly reports = new Map<string, LoadReport>();
  private readonly sums = new Map<string, number>();
  private expiredAt = Number.NEGATIVE_INFINITY;

  report(gateway: string, loads: readonly BackendLoad[]): void {
    this.withdraw(gateway);
    this.reports.set(gateway, { loads, at: monotonicMs() });
    for (const { id, inFlight } of loads) this.add(id, inFlight);
  }

  /** Sums of the other gateways' calls by back end; back ends without any are left out. */
  othersThan(gateway: string): BackendLoad[] {
    this.expire();
    const own = new Map<string, number>();
    for (const { id, inFlight } of this.reports.get(gateway)?.loads ?? []) {
      own.set(id, (own.get(id) ?? 0) + inFlight);
    }
    const others: BackendLoad[] = [];
    for (const [id, sum] of this.sums) {
      const inFlight = sum - (own.get(id) ?? 0);
      if (inFlight > 0) others.push({ id, inFlight });
    }
    return others;
  }

  clear(): void {
    this.reports.clear();
    this.sums.clear();
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
