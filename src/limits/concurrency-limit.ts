/**
 * How many calls may be at a back end at once. The limit follows what the back end bears: it grows
 * by one after a limit's worth of good answers and shrinks by a tenth when the time to the first
 * answer rises well above the best seen lately, or when the back end refuses.
 */
export interface ConcurrencyLimitOptions {
  /** Where the limit starts, and the most it can be. */
  maximum: number;
  /** The least it can be. @default 2 */
  minimum?: number;
  /** How many times the best latency counts as congestion. @default 4 */
  congestionFactor?: number;
}

const DEFAULT_MINIMUM = 2;
const DEFAULT_CONGESTION_FACTOR = 4;
const SHRINK_FACTOR = 0.9;
const REFUSAL_SHRINK_FACTOR = 0.7;
/** How fast the memory of the best latency fades, per answer. */
const BEST_DRIFT = 1.005;

export class ConcurrencyLimit {
  private limit: number;
  private active = 0;
  private bestMs = Number.POSITIVE_INFINITY;
  private readonly minimum: number;
  private readonly congestionFactor: number;

  constructor(private readonly options: ConcurrencyLimitOptions) {
    this.limit = options.maximum;
    this.minimum = Math.min(options.minimum ?? DEFAULT_MINIMUM, options.maximum);
    this.congestionFactor = options.congestionFactor ?? DEFAULT_CONGESTION_FACTOR;
  }

  get current(): number {
    return Math.floor(this.limit);
  }

  get inFlight(): number {
    return this.active;
  }

  get hasRoom(): boolean {
    return this.active < this.current;
  }

  acquire(): void {
    this.active += 1;
  }

  release(): void {
    this.active -= 1;
  }

  /** Notes the time to an answer's beginning, in milliseconds. */
  noteLatency(latencyMs: number): void {
    this.bestMs = Math.min(this.bestMs * BEST_DRIFT, latencyMs);
    const isCongested = latencyMs > this.bestMs * this.congestionFactor;
    if (isCongested) this.limit *= SHRINK_FACTOR ** (1 / Math.max(1, this.limit));
    else this.limit += 1 / this.limit;
    this.clamp();
  }

  noteRefusal(): void {
    this.limit *= REFUSAL_SHRINK_FACTOR;
    this.clamp();
  }

  private clamp(): void {
    this.limit = Math.min(this.options.maximum, Math.max(this.minimum, this.limit));
  }
}
