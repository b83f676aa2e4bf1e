/** A test in the JSON report of Vitest. */
export interface ReportedTest {
  fullName: string;
  failureMessages?: readonly string[];
}

export function readKnownRed(path: string): string[];
export function isKnownRed(lines: readonly string[], test: ReportedTest): boolean;
export function listPassedKnownRed(
  lines: readonly string[],
  passedTests: readonly ReportedTest[],
): string[];
