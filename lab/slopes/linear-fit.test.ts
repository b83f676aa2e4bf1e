import { describe, expect, it } from 'vitest';
import { fitLine } from './linear-fit.js';

const pointsOf = (f: (x: number) => number): { x: number; y: number }[] =>
  [1, 2, 4, 8, 16].map((x) => ({ x, y: f(x) }));

describe('a fitted line', () => {
  it('finds slope and intercept of a straight one', () => {
    const fit = fitLine(pointsOf((x) => 3 + 2 * x));
    expect(fit.slope).toBeCloseTo(2);
    expect(fit.intercept).toBeCloseTo(3);
    expect(fit.rSquared).toBeCloseTo(1);
    expect(fit.bend).toBeCloseTo(1);
  });

  it('tells a curve from a line', () => {
    expect(fitLine(pointsOf((x) => x * x)).bend).toBeGreaterThan(1.6);
    expect(fitLine(pointsOf((x) => Math.sqrt(x))).bend).toBeLessThan(0.7);
  });

  it('explains little of what is scattered', () => {
    const fit = fitLine([1, 2, 3, 4, 5, 6].map((x) => ({ x, y: x % 2 === 0 ? 10 : -10 })));
    expect(fit.rSquared).toBeLessThan(0.3);
  });
});
