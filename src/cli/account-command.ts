/** `account`: summarizes a run from the decision logs of the processes. */
import type { CAC } from 'cac';
import {
  type LossSummary,
  type LossWindow,
  type RunSummary,
  type TurnLatencyBreakdown,
  describeScheduling,
  summarizeLosses,
  summarizeRun,
} from '../explain/index.js';
import { readLogRecords } from './log-reader.js';
import { UsageError, runAction } from './run-action.js';

const MAX_FAILURES = 12;
const MAX_REASONS = 12;

export function addAccountCommand(cli: CAC): void {
  cli
    .command('account [...files]', 'Summarize latencies and failures of a run from log files')
    .option('--json', 'Print one JSON object')
    .action((files: string[], flags: { json?: boolean }) =>
      runAction(() => {
        if (files.length === 0) throw new UsageError('name at least one log file');
        const records = files.flatMap(readLogRecords);
        const summary = summarizeRun(records);
        const losses = summarizeLosses(records);
        const text = flags.json
          ? JSON.stringify({ ...summary, losses })
          : `${formatSummary(summary)}\n\n${formatLosses(losses)}`;
        process.stdout.write(`${text}\n`);
      }),
    );
}

function formatSummary({ turns, windows, programs, scheduling, failures }: RunSummary): string {
  const { seen, late, failed } = programs;
  return [
    `programs: ${seen} seen, ${late} late, ${failed} failed`,
    `turns: ${formatLatencies(turns)}`,
    ...describeScheduling(scheduling),
    '',
    'from s  median  p95 ms  failed  parts',
    ...windows.map(
      (window) =>
        `${pad(window.fromSecond)}  ${pad(window.medianMs)}  ${pad(window.p95Ms)}  ` +
        `${pad(window.failed)}  ${formatLatencies(window)}`,
    ),
    '',
    'calls without an answer, by outcome and last back end:',
    ...failures
      .slice(0, MAX_FAILURES)
      .map(({ calls, outcome, backend, examples }) =>
        `${pad(calls)}  ${outcome} ${backend} (${examples.join(', ')})`.trimEnd(),
      ),
  ].join('\n');
}

function formatLosses({ begun, lost, windows, reasons, routes, places }: LossSummary): string {
  const counts = (rows: LossSummary['reasons']): string[] =>
    rows.slice(0, MAX_REASONS).map(({ name, programs }) => `${pad(programs)}  ${name}`);
  return [
    `programs lost (late, refused or failed): ${lost} of ${begun}`,
    '',
    'begun from s  begun    late  refused  failed  main reason',
    ...windows.map(formatLossWindow),
    ...['', 'by reason:', ...counts(reasons)],
    ...['', 'by route and reason:', ...counts(routes)],
    ...['', 'by place of the last gateway:', ...counts(places)],
  ].join('\n');
}

function formatLossWindow(window: LossWindow): string {
  const { fromSecond, begun, late, refused, failed, mainReason } = window;
  return `${[fromSecond, begun, late, refused, failed].map(pad).join('  ')}  ${mainReason}`.trimEnd();
}

function formatLatencies(parts: TurnLatencyBreakdown): string {
  const { turns, ledgerMs, firstEventMs, generatingMs, keepingMs, sentAgain } = parts;
  const times = [
    `ledger ${Math.round(ledgerMs)}`,
    `first event ${Math.round(firstEventMs)}`,
    `generating ${Math.round(generatingMs)}`,
    `keeping ${Math.round(keepingMs)} ms`,
  ];
  return `${turns} turns: ${times.join(', ')}; sent again ${sentAgain}`;
}

function pad(value: number): string {
  return String(Math.round(value)).padStart(6);
}
