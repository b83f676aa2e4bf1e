/** Counts the calls of one gateway by backend and prepares its reports. */
import { remainingAfter } from '../common/index.js';
import { logLatencyRatio } from '../performance/index.js';
import {
  type BackendTally,
  FAILURE_HALF_LIFE_MS,
  SLOWDOWN_HALF_LIFE_MS,
  type StatisticsReport,
  encodeReport,
} from './messages.js';

/** Minimum time between two reports, in milliseconds. */
export const MIN_REPORT_INTERVAL_MS = 400;
/**
 * Time between two reports without urgent news, in milliseconds. The leader decays a report itself; reports that are
 * not due leave room for an urgent one.
 */
export const REPORT_INTERVAL_MS = 800;
/** Maximum size of a report, in bytes. */
export const MAX_REPORT_BYTES = 1_000;
/** Size of an entry besides its id: header of the text and up to three bytes for each number. */
const ENTRY_BYTES = 14;
/** Size of the names of the lists. */
const REPORT_HEADER_BYTES = 60;
/** Weight and calls below which a backend is no longer reported. */
const MIN_WEIGHT = 0.05;

interface Entry extends BackendTally {
  /** Time to which the values are decayed (monotonic, milliseconds). */
  at: number;
}

export class StatisticsCollector {
  private readonly entries = new Map<string, Entry>();
  private reportedAt = Number.NEGATIVE_INFINITY;
  private isUrgent = false;

  /** @param clock monotonic clock, in milliseconds */
  constructor(private readonly clock: () => number) {}

  /** @param expectedMs predicted latency on a backend of normal speed */
  noteDuration(id: string, tookMs: number, expectedMs: number): void {
    const entry = this.currentEntry(id);
    entry.weight += 1;
    entry.logRatios += logLatencyRatio(tookMs, expectedMs);
  }

  /** @param isUrgent whether the result is to be reported as soon as possible */
  noteResult(id: string, isFailure: boolean, isUrgent = isFailure): void {
    const entry = this.currentEntry(id);
    entry.calls += 1;
    if (isFailure) entry.failures += 1;
    this.isUrgent ||= isUrgent;
  }

  /** The totals by backend, or undefined if there are none or the last report is too recent. */
  takeReport(): StatisticsReport | undefined {
    const now = this.clock();
    const intervalMs = this.isUrgent ? MIN_REPORT_INTERVAL_MS : REPORT_INTERVAL_MS;
    if (now - this.reportedAt < intervalMs) return undefined;
    this.reportedAt = now;
    this.isUrgent = false;
    this.removeForgotten(now);
    const tallies = withinSize([...this.entries.values()].sort(byImportance));
    return tallies.length === 0 ? undefined : encodeReport(tallies);
  }

  clear(): void {
    this.entries.clear();
  }

  private currentEntry(id: string): Entry {
    const now = this.clock();
    const known = this.entries.get(id);
    if (known) return decayTo(known, now);
    const entry = { id, weight: 0, logRatios: 0, calls: 0, failures: 0, at: now };
    this.entries.set(id, entry);
    return entry;
  }

  private removeForgotten(now: number): void {
    for (const entry of this.entries.values()) {
      const { weight, calls, id } = decayTo(entry, now);
      if (weight < MIN_WEIGHT && calls < MIN_WEIGHT) this.entries.delete(id);
    }
  }
}

function decayTo(entry: Entry, now: number): Entry {
  const ofSlowdown = remainingAfter(now - entry.at, SLOWDOWN_HALF_LIFE_MS);
  const ofCalls = remainingAfter(now - entry.at, FAILURE_HALF_LIFE_MS);
  entry.weight *= ofSlowdown;
  entry.logRatios *= ofSlowdown;
  entry.calls *= ofCalls;
  entry.failures *= ofCalls;
  entry.at = now;
  return entry;
}

/** Failures first, so that they are never left out of a full report, then the most recent calls. */
function byImportance(left: BackendTally, right: BackendTally): number {
  return right.failures - left.failures || right.weight - left.weight;
}

function withinSize(tallies: readonly BackendTally[]): BackendTally[] {
  let bytes = REPORT_HEADER_BYTES;
  return tallies.filter(({ id }) => {
    bytes += Buffer.byteLength(id) + ENTRY_BYTES;
    return bytes <= MAX_REPORT_BYTES;
  });
}
