/** `torture` command: injects seeded faults into a fleet under load and checks invariants. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { findDeployment } from '../fleet/topology.js';
import { selectFaults } from '../torture/faults/index.js';
import { RecordReader } from '../torture/record-reader.js';
import { createSchedule } from '../torture/schedule.js';
import { type SeedResult, SeedRun } from '../torture/seed-run.js';
import { TORTURE_TIME_SCALE } from '../torture/torture-load.js';
import { type TortureReport, summarizeTorture } from '../torture/torture-report.js';
import { createProgress } from './progress.js';
import { formatMs, formatTable } from './table.js';
import { startTemporaryFleet } from './temporary-fleet.js';

export interface TortureFlags {
  deployment: string;
  faults: string;
  seeds: number;
  firstSeed: number;
  /** Folder for the histories of seeds with violations. */
  keep?: string;
  json?: boolean;
}

const JOURNAL_GROUPS = 3;

export async function runTorture(flags: TortureFlags): Promise<void> {
  const faults = selectFaults(flags.faults);
  const progress = createProgress('torture', flags.json === true);
  const { fleet, workFolder, close } = await startTemporaryFleet('torture', {
    deployment: findDeployment(flags.deployment),
    timeScale: TORTURE_TIME_SCALE,
    journalGroups: JOURNAL_GROUPS,
    seed: flags.firstSeed,
    controlSettings: { consensus: { snapshotEveryEntries: 1_000, trailingEntries: 200 } },
  });
  const records = new RecordReader(fleet);
  const results: SeedResult[] = [];
  for (let seed = flags.firstSeed; seed < flags.firstSeed + flags.seeds; seed += 1) {
    const schedule = createSchedule(seed, faults);
    const names = schedule.faults.map((scheduled) => scheduled.fault.name).join(' + ');
    progress.update(results.length, flags.seeds, `seed ${seed}: ${names}`);
    const startedAt = performance.now();
    const result = await new SeedRun(fleet, records, seed, schedule).run();
    results.push(result);
    printSeedResult(result, performance.now() - startedAt, flags);
  }
  progress.stop();
  const report = summarizeTorture(flags.deployment, flags.firstSeed, results);
  if (report.violations === 0 && report.inconclusive === 0) {
    await close();
  } else {
    await fleet.down();
    process.stderr.write(`logs remain in ${workFolder}\n`);
  }
  process.stdout.write(`${flags.json ? JSON.stringify(report) : formatTortureReport(report)}\n`);
  process.exitCode = report.violations > 0 ? 1 : 0;
}

function printSeedResult(result: SeedResult, elapsedMs: number, flags: TortureFlags): void {
  const { seed, faults, check, inconclusive } = result;
  const verdict = check.violations.length > 0 ? 'VIOLATION' : inconclusive ? 'unclear' : 'ok';
  const details = [
    ...check.violations.map(({ promise, detail }) => `${promise}: ${detail}`),
    ...(inconclusive ? [inconclusive] : []),
  ];
  const seconds = (elapsedMs / 1_000).toFixed(1);
  process.stderr.write(
    `seed ${seed} ${verdict} ${seconds} s, ${result.history.calls.length} calls, ` +
      `${faults.join(' + ')}${details.map((detail) => `\n    ${detail}`).join('')}\n`,
  );
  // Histories are large: only those with violations are stored.
  if (check.violations.length > 0 && flags.keep) {
    mkdirSync(flags.keep, { recursive: true });
    writeFileSync(join(flags.keep, `seed-${seed}.json`), JSON.stringify(result.history));
  }
}

function formatTortureReport(report: TortureReport): string {
  const waitRows = Object.entries(report.unavailableMs).map(([fault, waitTimes]) => [
    fault,
    String(waitTimes.count),
    formatMs(waitTimes.p50),
    formatMs(waitTimes.p95),
    formatMs(waitTimes.max),
  ]);
  const checkRows = Object.entries(report.checks).map(([promise, checkCount]) => [
    promise,
    String(checkCount),
    String(report.seedsTesting[promise]),
  ]);
  return [
    `${report.deployment}: ${report.seedsRun} seeds from ${report.firstSeed}, ` +
      `${report.violations} violations, ${report.inconclusive} inconclusive`,
    '',
    formatTable(['promise', 'checks', 'seeds'], checkRows),
    '',
    formatTable(['longest wait with', 'seeds', 'p50', 'p95', 'max'], waitRows),
    '',
    `in force p50 ${formatMs(report.inForceMs.p50)}, p99 ${formatMs(report.inForceMs.p99)}`,
  ].join('\n');
}
