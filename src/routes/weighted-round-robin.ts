/**
 * Smooth weighted round robin: each step adds every candidate's weight to its current value and selects
 * the highest, from which the sum of all weights is then subtracted.
 */
export class WeightedRoundRobin {
  private readonly current: number[];
  private readonly total: number;

  /** @param weights non-negative, at least one positive */
  constructor(private readonly weights: readonly number[]) {
    this.current = weights.map(() => 0);
    this.total = weights.reduce((sum, weight) => sum + weight, 0);
    this.randomizeStart();
  }

  /** Index of the next candidate. */
  next(): number {
    let best = 0;
    for (const [index, weight] of this.weights.entries()) {
      this.current[index]! += weight;
      if (this.current[index]! > this.current[best]!) best = index;
    }
    this.current[best]! -= this.total;
    return best;
  }

  /** Starts at a random position; otherwise all processes would select the same first candidates. */
  private randomizeStart(): void {
    if (this.weights.length < 2) return;
    const steps = Math.floor(Math.random() * 100);
    for (let step = 0; step < steps; step += 1) this.next();
  }
}
