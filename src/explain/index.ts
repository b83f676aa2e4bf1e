/** Explains calls and summarizes runs from the decision logs of the processes. */
export {
  type RunSummary,
  type SummaryWindow,
  type FailureCount,
  type ProgramCounts,
  type TurnLatencyBreakdown,
  summarizeRun,
} from './run-summary.js';
export { type LossSummary, type LossWindow, summarizeLosses } from './lost-programs.js';
export { type SchedulingCounts, describeScheduling } from './scheduling-counts.js';
export type { Finding, FindingCause } from './finding.js';
export { explain, type Explanation } from './explanation.js';
export type { RestoredTurns } from './restored-turns.js';
export { type LogRecord, parseLogLine } from './log-record.js';
