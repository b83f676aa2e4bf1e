/**
 * Smooth weighted round robin: each choice raises every candidate by its weight and takes the
 * highest, which then pays the sum of all weights.
 */
export class WeightedRoundRobin {
  private readonly current: number[];
  private readonly total: number;

  /** @param weights none negative, at least one positive */
  constructor(private readonly weights: readonly number[]) {
    this.current = weights.map(() => 0);
    this.total = weights.reduce((sum, weight) => sum + weight, 0);
    this.skipAhead();
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

  /** Processes that all start at the same choice would skew the first calls of a route. */
  private skipAhead(): void {
    if (this.weights.length < 2) return;
    const steps = Math.floor(Math.random() * 100);
    for (let step = 0; step < steps; step += 1) this.next();
  }
}
