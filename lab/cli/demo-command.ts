/** `demo` command: starts a fleet, runs a seeded workload, verifies every answer and prints a summary. */
import { findDeployment } from '../fleet/topology.js';
import { readBackendRecords } from '../load/backend-records.js';
import { runLoad } from '../load/load-run.js';
import { type LoadSummary, summarizeLoad } from '../load/summary.js';
import { createProgress } from './progress.js';
import { formatMs, formatShare, formatTable } from './table.js';
import { startTemporaryFleet } from './temporary-fleet.js';

export interface DemoFlags {
  deployment: string;
  seed: number;
  programs: number;
  concurrency: number;
  json?: boolean;
}

const TIME_SCALE = 0.15;
const SIZE_SCALE = 1;
const LOAD_DURATION_MS = 25_000;
const CALL_TIMEOUT_MS = 20_000;
const JOURNAL_GROUPS = 4;

export interface DemoResult extends LoadSummary {
  deployment: string;
  seed: number;
  processes: number;
  wallClockMs: number;
}

export async function runDemo(flags: DemoFlags): Promise<void> {
  const startedAt = performance.now();
  const progress = createProgress('starting', flags.json === true);
  const { fleet, close } = await startTemporaryFleet('demo', {
    deployment: findDeployment(flags.deployment),
    timeScale: TIME_SCALE,
    journalGroups: JOURNAL_GROUPS,
    seed: flags.seed,
    onProgress: (done, total, step) => progress.update(done, total, step),
  });
  const processes = fleet.processes.size;
  const recorder = await runLoad(fleet, {
    seed: flags.seed,
    timeScale: TIME_SCALE,
    sizeScale: SIZE_SCALE,
    programs: flags.programs,
    concurrency: flags.concurrency,
    durationMs: LOAD_DURATION_MS,
    patienceMs: CALL_TIMEOUT_MS,
    onProgress: (started, finished) =>
      progress.update(finished, flags.programs, `${started} begun`),
  });
  const records = await readBackendRecords(fleet);
  await close();
  progress.stop();
  const summary = summarizeLoad(recorder, records);
  const wallClockMs = Math.round(performance.now() - startedAt);
  const { deployment, seed } = flags;
  const result: DemoResult = { deployment, seed, processes, wallClockMs, ...summary };
  process.stdout.write(`${flags.json ? JSON.stringify(result) : formatDemoResult(result)}\n`);
  process.exitCode = isSuccessful(result) ? 0 : 1;
}

function isSuccessful(result: DemoResult): boolean {
  return (
    result.programs > 0 &&
    result.programsCompleted === result.programs &&
    result.callsWrong === 0 &&
    result.callsLost === 0 &&
    result.callsUnknown === 0 &&
    result.repeatedNonRepeatable === 0
  );
}

function formatDemoResult(result: DemoResult): string {
  const rows = Object.entries(result.programLatencyMsByClass).map(([name, latency]) => [
    name,
    String(latency.count),
    formatMs(latency.p50),
    formatMs(latency.p95),
    formatMs(latency.p99),
  ]);
  const { programLatencyMs: all } = result;
  rows.push(['all', String(all.count), formatMs(all.p50), formatMs(all.p95), formatMs(all.p99)]);
  return [
    `${result.deployment}: ${result.processes} processes, seed ${result.seed}`,
    '',
    formatTable(['program class', 'count', 'p50', 'p95', 'p99'], rows),
    '',
    `programs ${result.programsCompleted}/${result.programs} completed, ${result.calls} calls: ` +
      `${result.callsWrong} wrong, ${result.callsLost} lost, ${result.callsUnknown} unknown, ` +
      `${result.repeatedNonRepeatable} repeated that may not be`,
    `first token p95 ${formatMs(result.firstTokenMs.p95)}, ` +
      `service call p99 ${formatMs(result.serviceCallMs.p99)}, ` +
      `prompt tokens from cache ${formatShare(result.cachedShare)}, ` +
      `computed again ${formatShare(result.wastedCacheShare)}`,
  ].join('\n');
}
