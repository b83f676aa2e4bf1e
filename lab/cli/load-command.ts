/** `load` command: runs a seeded workload on a temporary fleet, with open or closed loop. */
import { findDeployment } from '../fleet/topology.js';
import { readBackendRecords } from '../load/backend-records.js';
import { runLoad } from '../load/load-run.js';
import { type LoadSummary, summarizeLoad } from '../load/summary.js';
import { createProgress } from './progress.js';
import { formatMs, formatShare, formatTable } from './table.js';
import { startTemporaryFleet } from './temporary-fleet.js';

export interface LoadFlags {
  deployment: string;
  seed: number;
  seconds: number;
  /** Programs per second (open loop); if absent, the loop is closed. */
  rate?: number;
  concurrency: number;
  timeScale: number;
  json?: boolean;
}

const JOURNAL_GROUPS = 4;
const SIZE_SCALE = 1;
const CALL_TIMEOUT_MS = 30_000;
const MS_PER_SECOND = 1_000;

export async function runLoadCommand(flags: LoadFlags): Promise<void> {
  const { deployment, seed, timeScale, concurrency, rate } = flags;
  const progress = createProgress('load', flags.json === true);
  const { fleet, close } = await startTemporaryFleet('load', {
    deployment: findDeployment(deployment),
    timeScale,
    journalGroups: JOURNAL_GROUPS,
    seed,
  });
  const recorder = await runLoad(fleet, {
    seed,
    timeScale,
    sizeScale: SIZE_SCALE,
    programs: Number.POSITIVE_INFINITY,
    concurrency,
    ratePerSecond: rate,
    durationMs: flags.seconds * MS_PER_SECOND,
    patienceMs: CALL_TIMEOUT_MS,
    onProgress: (started, finished) => progress.update(finished, started, 'programs'),
  });
  const summary = summarizeLoad(recorder, await readBackendRecords(fleet));
  await close();
  progress.stop();
  process.stdout.write(`${flags.json ? JSON.stringify(summary) : formatLoadSummary(summary)}\n`);
  process.exitCode = summary.callsWrong + summary.callsLost > 0 ? 1 : 0;
}

function formatLoadSummary(summary: LoadSummary): string {
  const { programLatencyMs, firstTokenMs, serviceCallMs } = summary;
  const rows = (
    [
      ['programs', programLatencyMs],
      ['first token', firstTokenMs],
      ['service calls', serviceCallMs],
    ] as const
  ).map(([name, times]) => [
    name,
    String(times.count),
    formatMs(times.p50),
    formatMs(times.p95),
    formatMs(times.p99),
    formatMs(times.max),
  ]);
  return [
    formatTable(['what', 'count', 'p50', 'p95', 'p99', 'worst'], rows),
    '',
    `${summary.programsCompleted}/${summary.programs} programs, ${summary.calls} calls: ` +
      `${summary.callsWrong} wrong, ${summary.callsLost} lost, ${summary.callsNotRun} not run, ` +
      `${summary.callsUnknown} unknown`,
    `prompt tokens from cache ${formatShare(summary.cachedShare)}, ` +
      `computed again ${formatShare(summary.wastedCacheShare)}`,
  ].join('\n');
}
