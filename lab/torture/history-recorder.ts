/** Records the history of a seed while it runs. */
import type { ExchangeRecord } from '../../src/client/index.js';
import { WorkloadRecorder } from '../workload/recorder.js';
import { type ObservedExchange, type TortureHistory, emptyHistory } from './history.js';

const CALL_PATH = /^\/v1\/programs\/([^/]+)\/calls\/(\d+)$/;

export class HistoryRecorder {
  readonly history: TortureHistory;
  readonly workload = new WorkloadRecorder();

  constructor(seed: number) {
    this.history = emptyHistory(seed);
  }

  /** Records an exchange of a caller; exchanges that do not concern a call are ignored. */
  recordExchange(record: ExchangeRecord): void {
    const match = CALL_PATH.exec(record.path);
    if (!match) return;
    const { gateway, submission, startedAtMs, endedAtMs } = record;
    this.history.exchanges.push({
      program: match[1]!,
      sequence: Number(match[2]),
      submission,
      gateway,
      startedAtMs,
      endedAtMs,
      kind: classifyExchange(record),
    });
  }

  /** Returns the history including the calls and programs of the workload. */
  complete(): TortureHistory {
    const { calls, programs } = this.workload;
    return { ...this.history, calls, programs };
  }
}

function classifyExchange({ result }: ExchangeRecord): ObservedExchange['kind'] {
  if (result.kind === 'broken') return 'broken';
  if (result.kind !== 'problem') return 'answer';
  const { outcome, sendAgain } = result.problem;
  if (outcome === 'not_run') return 'not_run';
  return sendAgain ? 'pending' : 'unknown';
}
