/** What a check finds. */
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

/** The result of checking one promise: how often it was really put to the test, and the failures. */
export interface InvariantResult {
  promise: InvariantName;
  tested: number;
  violations: Violation[];
}

export interface InvariantCheck {
  promise: InvariantName;
  check(history: TortureHistory): InvariantResult;
}

/** Collects a check's results. */
export class ResultBuilder {
  private tested = 0;
  private readonly violations: Violation[] = [];

  constructor(private readonly promise: InvariantName) {}

  /** One test of the promise; `detail` describes the violation if `holds` is false. */
  expect(holds: boolean, detail: () => string): void {
    this.tested += 1;
    if (!holds) this.violations.push({ promise: this.promise, detail: detail() });
  }

  build(): InvariantResult {
    return { promise: this.promise, tested: this.tested, violations: this.violations };
  }
}
