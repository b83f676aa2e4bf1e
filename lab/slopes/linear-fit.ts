/** Linear least-squares fit. */

export interface Point {
  x: number;
  y: number;
}

export interface LinearFit {
  slope: number;
  intercept: number;
  /** Coefficient of determination (R²); 1 for a perfect fit. */
  rSquared: number;
  /** Slope of the second half of the points divided by that of the first; 1 for a straight line. */
  bend: number;
}

export function fitLine(points: readonly Point[]): LinearFit {
  const { slope, intercept } = leastSquares(points);
  const meanY = mean(points.map((point) => point.y));
  const total = sum(points.map((point) => (point.y - meanY) ** 2));
  const residual = sum(points.map((point) => (point.y - intercept - slope * point.x) ** 2));
  const rSquared = total === 0 ? 1 : 1 - residual / total;
  return { slope, intercept, rSquared, bend: computeBend(points) };
}

function leastSquares(points: readonly Point[]): { slope: number; intercept: number } {
  const meanX = mean(points.map((point) => point.x));
  const meanY = mean(points.map((point) => point.y));
  const covariance = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const variance = sum(points.map(({ x }) => (x - meanX) ** 2));
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}

function computeBend(points: readonly Point[]): number {
  const sorted = [...points].sort((left, right) => left.x - right.x);
  const half = Math.ceil(sorted.length / 2);
  const first = leastSquares(sorted.slice(0, half)).slope;
  const second = leastSquares(sorted.slice(-half)).slope;
  return first === 0 ? Number.NaN : second / first;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}
