/** The interface of invariant checks and their results. */
import type { TortureHistory } from '../history.js';

export type InvariantName =
  | 'order'
  | 'history'
  | 'isolation'
  | 'budget'
  | 'engine-memory'
  | 'complete-answer'
  | 'not-run'
  | 'at-most-once'
  | 'leaving'
  | 'planned-stop'
  | 'configuration';

export interface Violation {
  promise: InvariantName;
  detail: string;
}

/** The result of checking an invariant: the number of tests and the violations. */
export interface InvariantResult {
  promise: InvariantName;
  tested: number;
  violations: Violation[];
}

export interface InvariantCheck {
  promise: InvariantName;
  check(history: TortureHistory): InvariantResult;
}

/** Collects the results of an invariant check. */
export class ResultBuilder {
  private tested = 0;
  private readonly violations: Violation[] = [];

  constructor(private readonly promise: InvariantName) {}

  /** Tests the invariant once; `detail` describes the violation if `holds` is false. */
  expect(holds: boolean, detail: () => string): void {
    this.tested += 1;
    if (!holds) this.violations.push({ promise: this.promise, detail: detail() });
  }

  build(): InvariantResult {
    return { promise: this.promise, tested: this.tested, violations: this.violations };
  }
}
