/** Count, mean and longest of durations since they were last read, for a log line at intervals. */

export interface DurationStats {
  count: number;
  meanMs: number;
  maxMs: number;
}

export class DurationSummary {
  private count = 0;
  private sumMs = 0;
  private maxMs = 0;

  record(tookMs: number): void {
    this.count += 1;
    this.sumMs += tookMs;
    this.maxMs = Math.max(this.maxMs, tookMs);
  }

  /** Reads the figures, rounded to whole milliseconds, and begins anew. */
  readAndReset(): DurationStats {
    const { count, sumMs, maxMs } = this;
    this.count = 0;
    this.sumMs = 0;
    this.maxMs = 0;
    const meanMs = count === 0 ? 0 : Math.round(sumMs / count);
    return { count, meanMs, maxMs: Math.round(maxMs) };
  }
}
