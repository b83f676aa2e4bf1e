/** `bench` command: compares policies on the same seeds and loads. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { LedgegaugeError } from '../../src/common/index.js';
import { type BenchReport, createBenchReport } from '../bench/bench-report.js';
import { BenchRun, benchFleetOptions } from '../bench/bench-run.js';
import { findDeployment } from '../fleet/topology.js';
import { formatMs, formatShare, formatTable } from './table.js';
import { startTemporaryFleet } from './temporary-fleet.js';

export interface BenchFlags {
  deployment: string;
  seeds: number;
  firstSeed: number;
  loads: string;
  seconds: number;
  output: string;
  json?: boolean;
}

const MS_PER_SECOND = 1_000;

export async function runBench(flags: BenchFlags): Promise<void> {
  const { deployment: name, output } = flags;
  const deployment = findDeployment(name);
  const loads = parseLoads(flags.loads);
  const { fleet, close } = await startTemporaryFleet(
    'bench',
    benchFleetOptions(deployment, flags.firstSeed),
  );
  const result = await new BenchRun({
    fleet,
    seeds: Array.from({ length: flags.seeds }, (_, index) => flags.firstSeed + index),
    loads,
    durationMs: flags.seconds * MS_PER_SECOND,
    report: (step) => process.stderr.write(`${step}\n`),
  }).run();
  await close();
  const report = createBenchReport(name, result);
  mkdirSync(output, { recursive: true });
  writeFileSync(join(output, `bench-${name}.json`), `${JSON.stringify(report, null, 2)}\n`);
  process.stdout.write(`${flags.json ? JSON.stringify(report) : formatBenchReport(report)}\n`);
}

function parseLoads(text: string): number[] {
  const loads = String(text).split(',').map(Number);
  if (loads.every((load) => load > 0)) return loads;
  throw new LedgegaugeError(
    '--loads must be positive fractions of the capacity, for example 0.6,0.9',
    {
      step: 'cli.usage',
    },
  );
}

function formatBenchReport(report: BenchReport): string {
  const rows = report.policies.map((stats) => [
    `${stats.load}`,
    stats.policy,
    formatMs(stats.programLatencyMs.p50),
    formatMs(stats.programLatencyMs.p95),
    formatShare(stats.wastedCacheShare.recomputed),
    formatShare(stats.wastedCacheShare.heldUnused),
    formatShare(stats.wastedCacheShare.heldAfterEnd),
    formatMs(stats.serviceCallP99Ms),
    stats.goodput.toFixed(1),
    formatShare(stats.completedShare),
  ]);
  const ratios = report.ratios.map((ratio) => [
    `${ratio.load}`,
    ...[ratio.programP95, ratio.recomputed, ratio.goodput, ratio.serviceP99].map(
      ({ mean, lowest, highest }) =>
        `${mean.toFixed(2)} (${lowest.toFixed(2)}–${highest.toFixed(2)})`,
    ),
  ]);
  return [
    `${report.deployment}: seeds ${report.seeds.join(', ')}, full load is ` +
      `${report.capacity.toFixed(1)} programs a second`,
    '',
    formatTable(
      [
        'load',
        'policy',
        'p50',
        'p95',
        'recomputed',
        'unused',
        'after end',
        'service p99',
        'programs/s',
        'completed',
      ],
      rows,
    ),
    '',
    'against the best baseline of each seed, mean (lowest–highest):',
    formatTable(['load', 'p95', 'recomputed', 'goodput', 'service p99'], ratios),
  ].join('\n');
}
