import { describe, expect, it } from 'vitest';
import { fitLine } from './linear-fit.js';

const samplePoints = (f: (x: number) => number): { x: number; y: number }[] =>
  [1, 2, 4, 8, 16].map((x) => ({ x, y: f(x) }));

describe('linear fit', () => {
  it('finds slope and intercept of points on a line', () => {
    const fit = fitLine(samplePoints((x) => 3 + 2 * x));
    expect(fit.slope).toBeCloseTo(2);
    expect(fit.intercept).toBeCloseTo(3);
    expect(fit.rSquared).toBeCloseTo(1);
    expect(fit.bend).toBeCloseTo(1);
  });

  it('reports a bend for points on a curve', () => {
    expect(fitLine(samplePoints((x) => x * x)).bend).toBeGreaterThan(1.6);
    expect(fitLine(samplePoints((x) => Math.sqrt(x))).bend).toBeLessThan(0.7);
  });

  it('has a low R² for scattered points', () => {
    const fit = fitLine([1, 2, 3, 4, 5, 6].map((x) => ({ x, y: x % 2 === 0 ? 10 : -10 })));
    expect(fit.rSquared).toBeLessThan(0.3);
  });
});
