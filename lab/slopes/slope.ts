/** Measured linear dependence of a quantity on the load that drives it. */
import { type LinearFit, type Point, fitLine } from './linear-fit.js';

export interface Slope {
  /** Stable name, for example `call.leader-cpu`. */
  name: string;
  role: 'gateway' | 'control leader' | 'control follower' | 'control member';
  driver: string;
  quantity: string;
  points: Point[];
  fit: LinearFit;
}

export type SlopeDescription = Omit<Slope, 'points' | 'fit'>;

export function createSlope(description: SlopeDescription, points: Point[]): Slope {
  return { ...description, points, fit: fitLine(points) };
}

/** Measures one or more slopes in one series of runs. */
export interface SlopeExperiment {
  name: string;
  run(report: (step: string) => void): Promise<Slope[]>;
}
