/** Limits retries to a fraction of first attempts, so that retries cannot amplify an overload. */
export interface RetryBudgetOptions {
  /** Retries earned per first attempt. @default 0.2 */
  ratio?: number;
  /** Maximum and initial number of available retries. @default 20 */
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

  /** Consumes one retry. @returns false when none is available */
  tryTake(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
