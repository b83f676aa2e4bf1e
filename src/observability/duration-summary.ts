/** Count, mean and maximum of the durations since the last reading, for periodic log lines. */

export interface DurationStats {
  count: number;
  meanMs: number;
  maxMs: number;
}

export class DurationSummary {
  private count = 0;
  private sumMs = 0;
  private maxMs = 0;

  record(durationMs: number): void {
    this.count += 1;
    this.sumMs += durationMs;
    this.maxMs = Math.max(this.maxMs, durationMs);
  }

  /** Returns the statistics, rounded to whole milliseconds, and resets them. */
  readAndReset(): DurationStats {
    const { count, sumMs, maxMs } = this;
    this.count = 0;
    this.sumMs = 0;
    this.maxMs = 0;
    const meanMs = count === 0 ? 0 : Math.round(sumMs / count);
    return { count, meanMs, maxMs: Math.round(maxMs) };
  }
}
