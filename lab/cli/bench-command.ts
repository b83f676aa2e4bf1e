/** `bench`: policies side by side, on the same seeds and loads. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { LedgegaugeError } from '../../src/common/index.js';
import { type BenchReport, reportBench } from '../bench/bench-report.js';
import { BenchRun, benchFleet } from '../bench/bench-run.js';
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
  const loads = readLoads(flags.loads);
  const { fleet, close } = await startTemporaryFleet(
    'bench',
    benchFleet(deployment, flags.firstSeed),
  );
  const result = await new BenchRun({
    fleet,
    seeds: Array.from({ length: flags.seeds }, (_, index) => flags.firstSeed + index),
    loads,
    durationMs: flags.seconds * MS_PER_SECOND,
    report: (step) => process.stderr.write(`${step}\n`),
  }).run();
  await close();
  const report = reportBench(name, result);
  mkdirSync(output, { recursive: true });
  writeFileSync(join(output, `bench-${name}.json`), `${JSON.stringify(report, null, 2)}\n`);
  process.stdout.write(`${flags.json ? JSON.stringify(report) : benchTable(report)}\n`);
}

function readLoads(text: string): number[] {
  const loads = String(text).split(',').map(Number);
  if (loads.every((load) => load > 0)) return loads;
  throw new LedgegaugeError('--loads takes shares of capacity, for example 0.6,0.9', {
    step: 'cli.usage',
  });
}

function benchTable(report: BenchReport): string {
  const rows = report.policies.map((figures) => [
    `${figures.load}`,
    figures.policy,
    formatMs(figures.programLatencyMs.p50),
    formatMs(figures.programLatencyMs.p95),
    formatShare(figures.wastedCacheShare.recomputed),
    formatShare(figures.wastedCacheShare.heldUnused),
    formatShare(figures.wastedCacheShare.heldAfterEnd),
    formatMs(figures.serviceCallP99Ms),
    figures.goodput.toFixed(1),
    formatShare(figures.completedShare),
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
