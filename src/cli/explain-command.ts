/** `explain`: shows what happened to a call or program, from the decision logs of the processes. */
import type { CAC } from 'cac';
import {
  type Explanation,
  type Finding,
  type LogRecord,
  type RestoredTurns,
  explain,
} from '../explain/index.js';
import { readLogRecords } from './log-reader.js';
import { UsageError, runAction } from './run-action.js';

export function addExplainCommand(cli: CAC): void {
  cli
    .command('explain <id> [...files]', 'Show from log files what happened to a call or program')
    .option('--json', 'Print one JSON object')
    .action((id: string, files: string[], flags: { json?: boolean }) =>
      runAction(() => {
        if (files.length === 0) throw new UsageError('name at least one log file');
        const explanation = explain(String(id), files.flatMap(readLogRecords));
        const text = flags.json
          ? JSON.stringify(explanation)
          : formatExplanation(String(id), explanation);
        process.stdout.write(`${text}\n`);
      }),
    );
}

function formatExplanation(
  id: string,
  { direct, surrounding, findings, restoredTurns }: Explanation,
): string {
  if (direct.length === 0) return `no line names ${id}`;
  const parts = [`lines that name ${id}:`, ...direct.map(formatRecord)];
  if (findings.length > 0) {
    parts.push('', 'what scheduling did:', ...findings.map(formatFinding));
  }
  if (surrounding.length > 0) {
    parts.push('', 'what changed around them:', ...surrounding.map(formatRecord));
  }
  if (restoredTurns.length > 0) {
    parts.push(
      '',
      'what members held of the kept turns:',
      ...restoredTurns.map(formatRestoredTurns),
    );
  }
  return parts.join('\n');
}

function formatFinding({ time, node, call, text }: Finding): string {
  return `  ${time}  ${node.padEnd(20)}  ${call ?? 'a call'}: ${text}`;
}

function formatRestoredTurns(restored: RestoredTurns): string {
  const { node, at, startedAt, named, missing, storedValues } = restored;
  const held = missing === 0 ? `held all ${named}` : `lacked ${missing} of ${named}`;
  const since = startedAt === undefined ? '' : ` since its start at ${startedAt}`;
  const store = storedValues === undefined ? '' : `; its store had opened with ${storedValues}`;
  return `  ${at}  ${node.padEnd(20)}  ${held} kept turns${since}${store}`;
}

function formatRecord({ time, node, event, fields }: LogRecord): string {
  const details = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`);
  return `  ${time}  ${node.padEnd(20)}  ${event}  ${details.join(' ')}`;
}
