/** `account`: where the time of a whole run went, by the decision logs of the processes. */
import type { CAC } from 'cac';
import { type RunSummary, type TurnLatencyBreakdown, summarizeRun } from '../explain/index.js';
import { UsageError } from './daemon-command.js';
import { readLogRecords } from './log-reader.js';
import { runAction } from './run-daemon.js';

const MOST_FAILURES = 12;

export function addAccountCommand(cli: CAC): void {
  cli
    .command('account [...files]', 'Tell from log files where the time of all programs went')
    .option('--json', 'Print one JSON object')
    .action((files: string[], flags: { json?: boolean }) =>
      runAction(() => {
        if (files.length === 0) throw new UsageError('name at least one log file');
        const account = summarizeRun(files.flatMap(readLogRecords));
        process.stdout.write(`${flags.json ? JSON.stringify(account) : describe(account)}\n`);
      }),
    );
}

function describe({ turns, windows, programs, failures }: RunSummary): string {
  const { seen, late, failed } = programs;
  return [
    `programs: ${seen} seen, ${late} late, ${failed} failed`,
    `turns: ${describeParts(turns)}`,
    '',
    'from s  median  p95 ms  failed  parts',
    ...windows.map(
      (window) =>
        `${pad(window.fromSecond)}  ${pad(window.medianMs)}  ${pad(window.p95Ms)}  ` +
        `${pad(window.failed)}  ${describeParts(window)}`,
    ),
    '',
    'calls without an answer, by outcome and last back end:',
    ...failures
      .slice(0, MOST_FAILURES)
      .map(({ calls, outcome, backend, examples }) =>
        `${pad(calls)}  ${outcome} ${backend} (${examples.join(', ')})`.trimEnd(),
      ),
  ].join('\n');
}

function describeParts(parts: TurnLatencyBreakdown): string {
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
