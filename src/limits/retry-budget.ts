/** Bounds retries to a share of first tries, so that retries cannot multiply an overload. */
export interface RetryBudgetOptions {
  /** Retries earned by each first try. @default 0.2 */
  ratio?: number;
  /** Retries that can be saved up, and are there at the start. @default 20 */
  capacity?: number;
}

const DEFAULT_RATIO = 0.2;
const DEFAULT_CAPACITY = 20;

export class RetryBudget {
  private tokens: number;
  private readonly ratio: number;
  private readonly capacity: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.ratio = options.ratio ?? DEFAULT_RATIO;
    this.capacity = options.capacity ?? DEFAULT_CAPACITY;
    this.tokens = this.capacity;
  }

  noteFirstTry(): void {
    this.tokens = Math.min(this.capacity, this.tokens + this.ratio);
  }

  /** Takes one retry; false when there is none left. */
  tryTake(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
