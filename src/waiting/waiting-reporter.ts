/** Decides when a gateway reports its waiting calls to the directory's leader. */
import type { WaitingCount } from './waiting-call.js';

/** Minimum time between two reports, in milliseconds. */
const REPORT_INTERVAL_MS = 400;
/**
 * Time for which a gateway without waiting calls reports that it has none, in milliseconds. Longer than the leader
 * keeps a report, so that a lost report does no harm.
 */
const CLEARING_MS = 2_000;

export class WaitingReporter {
  private reportedAt = Number.NEGATIVE_INFINITY;
  /** When calls last waited at a report (monotonic, milliseconds). */
  private waitedAt = Number.NEGATIVE_INFINITY;

  /** @returns the report to send now; undefined if none is due */
  report(counts: WaitingCount[], now: number): WaitingCount[] | undefined {
    if (now - this.reportedAt < REPORT_INTERVAL_MS) return undefined;
    if (counts.length > 0) this.waitedAt = now;
    if (now - this.waitedAt > CLEARING_MS) return undefined;
    this.reportedAt = now;
    return counts;
  }
}
