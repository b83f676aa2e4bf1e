/**
 * Online linear regression: least squares with exponential forgetting, a ridge prior and Huber weights,
 * which bound the influence of outliers. Slopes are constrained to be non-negative, since more work
 * never makes a call faster.
 */

export interface LeastSquaresOptions {
  /** Initial coefficients; the first is the intercept, whose input is always 1. */
  prior: readonly number[];
  /** Weight of the prior, in samples. */
  priorSamples: number;
  /** Forgetting factor per sample, below 1. */
  retention: number;
}

/** Huber threshold, as a multiple of the typical residual. */
const HUBER_RESIDUALS = 2;
/** Weight of the newest residual in the moving average. */
const RESIDUAL_WEIGHT = 0.05;
/** Number of samples between two solutions. */
const SAMPLES_PER_SOLUTION = 4;

export class DecayingLeastSquares {
  private readonly size: number;
  /** Weighted sums of products of inputs (the normal matrix). */
  private readonly products: number[][];
  /** Weighted sums of products of inputs and output. */
  private readonly outputs: number[];
  private solution: number[];
  private typicalResidual: number | undefined;
  private samplesSinceSolution = 0;

  constructor(private readonly options: LeastSquaresOptions) {
    this.size = options.prior.length;
    this.products = options.prior.map(() => new Array<number>(this.size).fill(0));
    this.outputs = new Array<number>(this.size).fill(0);
    this.solution = [...options.prior];
  }

  get coefficients(): readonly number[] {
    return this.solution;
  }

  predict(inputs: readonly number[]): number {
    return inputs.reduce((sum, input, index) => sum + input * this.solution[index]!, 0);
  }

  /**
   * @param inputs the first is 1
   * @param trust weight of the sample, proportional to the inverse of its variance
   */
  add(inputs: readonly number[], output: number, trust = 1): void {
    const scale = Math.sqrt(trust);
    // Until residuals are known, the size of the first output serves as the typical residual.
    this.typicalResidual ??= Math.abs(output) * scale;
    const residual = Math.abs(output - this.predict(inputs)) * scale;
    const weight = trust * this.huberWeight(residual, this.typicalResidual);
    const { retention } = this.options;
    for (let row = 0; row < this.size; row += 1) {
      const rowOfProducts = this.products[row]!;
      const weighted = weight * inputs[row]!;
      for (let column = 0; column < this.size; column += 1) {
        rowOfProducts[column] = rowOfProducts[column]! * retention + weighted * inputs[column]!;
      }
      this.outputs[row] = this.outputs[row]! * retention + weighted * output;
    }
    this.samplesSinceSolution += 1;
    if (this.samplesSinceSolution >= SAMPLES_PER_SOLUTION) this.solve();
  }

  private huberWeight(residual: number, typical: number): number {
    const limit = typical * HUBER_RESIDUALS;
    const counted = Math.min(residual, limit * HUBER_RESIDUALS);
    this.typicalResidual = typical + (counted - typical) * RESIDUAL_WEIGHT;
    return residual <= limit ? 1 : limit / residual;
  }

  /** Solves the equations, removing the most negative slope until none is left. */
  private solve(): void {
    this.samplesSinceSolution = 0;
    const active = this.options.prior.map((_, index) => index);
    for (;;) {
      const values = this.solveFor(active);
      const lowest = mostNegativeSlope(active, values);
      if (lowest === undefined) {
        this.solution = this.options.prior.map(() => 0);
        active.forEach((index, position) => (this.solution[index] = values[position]!));
        return;
      }
      active.splice(lowest, 1);
    }
  }

  private solveFor(active: readonly number[]): number[] {
    const { prior, priorSamples } = this.options;
    const matrix = active.map((row) =>
      active.map((column) => this.products[row]![column]! + (row === column ? priorSamples : 0)),
    );
    const vector = active.map((row) => this.outputs[row]! + priorSamples * prior[row]!);
    return solveSymmetric(matrix, vector);
  }
}

/** @returns the position of the most negative slope, if any; the intercept may be negative */
function mostNegativeSlope(
  active: readonly number[],
  values: readonly number[],
): number | undefined {
  let lowest: number | undefined;
  for (let position = 0; position < active.length; position += 1) {
    if (active[position] === 0 || values[position]! >= 0) continue;
    if (lowest === undefined || values[position]! < values[lowest]!) lowest = position;
  }
  return lowest;
}

/** Gaussian elimination without pivoting; the matrix is positive definite. */
function solveSymmetric(matrix: number[][], vector: number[]): number[] {
  const size = vector.length;
  for (let pivot = 0; pivot < size; pivot += 1) {
    for (let row = pivot + 1; row < size; row += 1) {
      const factor = matrix[row]![pivot]! / matrix[pivot]![pivot]!;
      for (let column = pivot; column < size; column += 1) {
        matrix[row]![column] = matrix[row]![column]! - factor * matrix[pivot]![column]!;
      }
      vector[row] = vector[row]! - factor * vector[pivot]!;
    }
  }
  for (let row = size - 1; row >= 0; row -= 1) {
    let sum = vector[row]!;
    for (let column = row + 1; column < size; column += 1) {
      sum -= matrix[row]![column]! * vector[column]!;
    }
    vector[row] = sum / matrix[row]![row]!;
  }
  return vector;
}
