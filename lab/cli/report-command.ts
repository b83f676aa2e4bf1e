/** `report` command: generates a Markdown page with plots from the JSON files of earlier runs. */
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { LedgegaugeError } from '../../src/common/index.js';
import type { BenchReport, PolicyStats } from '../bench/bench-report.js';
import { BENCH_POLICIES } from '../bench/policies.js';
import { DEPLOYMENTS } from '../fleet/topology.js';
import { drawBarChart } from '../plots/bar-chart.js';
import type { TortureReport } from '../torture/torture-report.js';

export interface ReportFlags {
  input: string;
  output: string;
}

interface Section {
  title: string;
  plots: { file: string; svg: string }[];
}

export function runReport(flags: ReportFlags): void {
  const sections = Object.keys(DEPLOYMENTS).flatMap((deployment) => [
    ...benchSections(readJson<BenchReport>(flags.input, `bench-${deployment}.json`)),
    ...tortureSections(readJson<TortureReport>(flags.input, `torture-${deployment}.json`)),
  ]);
  if (sections.length === 0) {
    throw new LedgegaugeError('input folder has no bench-*.json or torture-*.json file', {
      step: 'cli.usage',
      peer: flags.input,
    });
  }
  mkdirSync(flags.output, { recursive: true });
  for (const { file, svg } of sections.flatMap((section) => section.plots)) {
    writeFileSync(join(flags.output, file), svg);
  }
  const page = join(flags.output, 'report.md');
  writeFileSync(page, `# Report\n\n${sections.map(formatSection).join('\n\n')}\n`);
  process.stdout.write(`${page}\n`);
}

function readJson<Content>(folder: string, name: string): Content | undefined {
  const file = join(folder, name);
  if (!existsSync(file)) return undefined;
  return JSON.parse(readFileSync(file, 'utf8')) as Content;
}

function benchSections(report: BenchReport | undefined): Section[] {
  if (!report) return [];
  const { deployment } = report;
  const plot = (
    name: string,
    title: string,
    read: (stats: PolicyStats) => number,
  ): Section['plots'][0] => ({
    file: `${deployment}-${name}.svg`,
    svg: drawBarChart(`${deployment}: ${title}`, groupByLoad(report.policies, read)),
  });
  return [
    {
      title: `Policies, ${deployment}, seeds ${report.seeds.join(', ')}`,
      plots: [
        plot('latency', 'program p95, ms', (stats) => stats.programLatencyMs.p95),
        plot(
          'recomputed',
          'prefix tokens computed again, % of computed',
          (stats) => stats.wastedCacheShare.recomputed * 100,
        ),
        plot(
          'unused',
          'token time held without reuse, %',
          (stats) => stats.wastedCacheShare.heldUnused * 100,
        ),
        plot('service', 'service call p99, ms', (stats) => stats.serviceCallP99Ms),
      ],
    },
  ];
}

function groupByLoad(
  policies: readonly PolicyStats[],
  read: (stats: PolicyStats) => number,
): Parameters<typeof drawBarChart>[1] {
  const baselines = new Set(
    BENCH_POLICIES.filter((policy) => policy.isBaseline).map((policy) => policy.name),
  );
  const loads = [...new Set(policies.map((stats) => stats.load))];
  return loads.map((load) => ({
    title: `at ${load} of full load`,
    bars: policies
      .filter((stats) => stats.load === load)
      .map((stats) => ({
        label: stats.policy,
        value: read(stats),
        isOurs: !baselines.has(stats.policy),
      })),
  }));
}

function tortureSections(report: TortureReport | undefined): Section[] {
  if (!report) return [];
  const { deployment, unavailableMs } = report;
  const bars = Object.entries(unavailableMs)
    .sort(([, left], [, right]) => right.p50 - left.p50)
    .map(([fault, waitTimes]) => ({ label: fault, value: waitTimes.p50, isOurs: true }));
  const group = { title: 'median over seeds with this fault alone, ms', bars };
  const svg = drawBarChart(`${deployment}: longest wait of a caller`, [group]);
  return [
    {
      title: `Recovery, ${deployment}, ${report.seedsRun} seeds, ${report.violations} violations`,
      plots: [{ file: `${deployment}-recovery.svg`, svg }],
    },
  ];
}

function formatSection({ title, plots }: Section): string {
  return `## ${title}\n\n${plots.map(({ file }) => `![${file}](${file})`).join('\n\n')}`;
}
