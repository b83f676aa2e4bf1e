/** Checks the invariants of a history, independently of the implementation of the system. */
import type { TortureHistory } from '../history.js';
import { completeAnswerCheck, historyCheck, isolationCheck, orderCheck } from './call-checks.js';
import {
  configurationCheck,
  engineMemoryCheck,
  leavingCheck,
  plannedStopCheck,
} from './operation-checks.js';
import type { InvariantCheck, InvariantName, InvariantResult, Violation } from './invariant.js';
import { atMostOnceCheck, budgetCheck, notRunCheck } from './spending-checks.js';

export type { InvariantName, InvariantResult, Violation } from './invariant.js';

export const INVARIANT_CHECKS: readonly InvariantCheck[] = [
  orderCheck,
  historyCheck,
  isolationCheck,
  budgetCheck,
  engineMemoryCheck,
  completeAnswerCheck,
  notRunCheck,
  atMostOnceCheck,
  leavingCheck,
  plannedStopCheck,
  configurationCheck,
];

export interface CheckResult {
  /** Number of tests of each invariant. */
  tested: Record<InvariantName, number>;
  violations: Violation[];
}

export function checkHistory(history: TortureHistory): CheckResult {
  const results: InvariantResult[] = INVARIANT_CHECKS.map(({ check }) => check(history));
  const tested = Object.fromEntries(
    results.map((result) => [result.promise, result.tested]),
  ) as Record<InvariantName, number>;
  const found = results.flatMap((result) => result.violations);
  return { tested, violations: [...found, ...history.directViolations] };
}
