/**
 * Linear regression over a stream of samples: least squares whose older samples count less and less,
 * with a weak prior (ridge) and with bounded influence of outliers (Huber's weights). Slopes are not
 * negative: a quantity of work never makes a call faster.
 */

export interface LeastSquaresOptions {
  /** Coefficients to begin with; the first is the intercept, whose input is always 1. */
  prior: readonly number[];
  /** Samples that the prior weighs as much as. */
  priorSamples: number;
  /** Share of its weight that a sample keeps when the next one comes, below 1. */
  retention: number;
}

/** Residuals beyond so many typical ones have bounded influence. */
const HUBER_RESIDUALS = 2;
/** Share of the newest residual in the typical one. */
const RESIDUAL_SHARE = 0.05;
/** Samples between two solutions, since the coefficients change slowly. */
const SOLVE_EVERY = 4;

export class DecayingLeastSquares {
  private readonly size: number;
  /** Sums of weighted products of inputs, row by row. */
  private readonly products: number[][];
  /** Sums of weighted products of inputs and outputs. */
  private readonly outputs: number[];
  private solution: number[];
  private typicalResidual: number | undefined;
  private sinceSolved = 0;

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
   * @param trust weight of the sample, in proportion to one over its variance
   */
  add(inputs: readonly number[], output: number, trust = 1): void {
    const scale = Math.sqrt(trust);
    // Before anything is known, residuals of the size of the outputs themselves are nothing special.
    this.typicalResidual ??= Math.abs(output) * scale;
    const residual = Math.abs(output - this.predict(inputs)) * scale;
    const weight = trust * this.influenceOf(residual, this.typicalResidual);
    const { retention } = this.options;
    for (let row = 0; row < this.size; row += 1) {
      const rowOfProducts = this.products[row]!;
      const weighted = weight * inputs[row]!;
      for (let column = 0; column < this.size; column += 1) {
        rowOfProducts[column] = rowOfProducts[column]! * retention + weighted * inputs[column]!;
      }
      this.outputs[row] = this.outputs[row]! * retention + weighted * output;
    }
    this.sinceSolved += 1;
    if (this.sinceSolved >= SOLVE_EVERY) this.solve();
  }

  private influenceOf(residual: number, typical: number): number {
    const limit = typical * HUBER_RESIDUALS;
    const counted = Math.min(residual, limit * HUBER_RESIDUALS);
    this.typicalResidual = typical + (counted - typical) * RESIDUAL_SHARE;
    return residual <= limit ? 1 : limit / residual;
  }

  /** Solves without the slopes that would be negative, one after the other. */
  private solve(): void {
    this.sinceSolved = 0;
    const active = this.options.prior.map((_, index) => index);
    for (;;) {
      const values = this.solveFor(active);
      const lowest = lowestSlope(active, values);
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
function lowestSlope(active: readonly number[], values: readonly number[]): number | undefined {
  let lowest: number | undefined;
  for (let position = 0; position < active.length; position += 1) {
    if (active[position] === 0 || values[position]! >= 0) continue;
    if (lowest === undefined || values[position]! < values[lowest]!) lowest = position;
  }
  return lowest;
}

/** Gaussian elimination; the matrix is positive definite, so that no pivoting is needed. */
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
