/**
 * Adaptive limit on concurrent calls to a backend (additive increase, multiplicative decrease). It
 * grows by one per full window of uncongested responses, shrinks by a tenth per window while the time
 * to the start of a response is well above the recent minimum, and shrinks when a call is refused.
 */
export interface ConcurrencyLimitOptions {
  /** Initial and maximum limit. */
  maximum: number;
  /** Minimum limit. @default 2 */
  minimum?: number;
  /** Multiple of the minimum latency that counts as congestion. @default 4 */
  congestionFactor?: number;
}

const DEFAULT_MINIMUM = 2;
const DEFAULT_CONGESTION_FACTOR = 4;
const SHRINK_FACTOR = 0.9;
const REFUSAL_SHRINK_FACTOR = 0.7;
/** Factor by which the tracked minimum latency rises per response, so that old minima expire. */
const MINIMUM_LATENCY_DRIFT = 1.005;

export class ConcurrencyLimit {
  private limit: number;
  private inFlightCalls = 0;
  private minimumLatencyMs = Number.POSITIVE_INFINITY;
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
    return this.inFlightCalls;
  }

  get hasRoom(): boolean {
    return this.inFlightCalls < this.current;
  }

  acquire(): void {
    this.inFlightCalls += 1;
  }

  release(): void {
    this.inFlightCalls -= 1;
  }

  /** @param latencyMs time until the response started */
  noteLatency(latencyMs: number): void {
    this.minimumLatencyMs = Math.min(this.minimumLatencyMs * MINIMUM_LATENCY_DRIFT, latencyMs);
    const isCongested = latencyMs > this.minimumLatencyMs * this.congestionFactor;
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
