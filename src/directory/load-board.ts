/** Calls under way by gateway and back end, as gateways report them while they watch. */
import { monotonicMs } from '../common/index.js';
import type { BackendLoad } from './messages.js';

/** A report older than this says nothing any more, in milliseconds. */
const REPORT_VALID_MS = 1_500;

interface LoadReport {
  loads: BackendLoad[];
  at: number;
}

export class LoadBoard {
  private readonly reports = new Map<string, LoadReport>();

  report(gateway: string, loads: BackendLoad[]): void {
    this.reports.set(gateway, { loads, at: monotonicMs() });
  }

  /** Sums of the other gateways' calls by back end. */
  othersThan(gateway: string): BackendLoad[] {
    const since = monotonicMs() - REPORT_VALID_MS;
    const sums = new Map<string, number>();
    for (const [name, report] of this.reports) {
      if (name === gateway || report.at < since) continue;
      for (const { id, inFlight } of report.loads) sums.set(id, (sums.get(id) ?? 0) + inFlight);
    }
    return [...sums].map(([id, inFlight]) => ({ id, inFlight }));
  }

  clear(): void {
    this.reports.clear();
  }
}
