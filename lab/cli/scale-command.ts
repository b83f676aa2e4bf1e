/** `scale`: the letter's fleet with hollow nodes before a real control group. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { ScaleRun, type ScaleReport } from '../scale/scale-run.js';
import { formatMs, formatTable } from './table.js';

export interface ScaleFlags {
  nodes: number;
  runners: number;
  tenants: number;
  models: number;
  seed: number;
  output: string;
  json?: boolean;
}

const BYTES_PER_MEGABYTE = 1_000_000;

export async function runScale(flags: ScaleFlags): Promise<void> {
  const { nodes, runners, tenants, models } = flags;
  const report = (step: string): void => {
    process.stderr.write(`${step}\n`);
  };
  const result = await new ScaleRun({ nodes, runners, tenants, models }, flags.seed, report).run();
  mkdirSync(flags.output, { recursive: true });
  writeFileSync(join(flags.output, 'scale.json'), `${JSON.stringify(result, null, 2)}\n`);
  process.stdout.write(`${flags.json ? JSON.stringify(result) : scaleTable(result)}\n`);
}

function scaleTable(result: ScaleReport): string {
  const { size, inForceMs, burst, node, leader, zoneLost, restarts, region } = result;
  const megabytes = Math.round(result.hollowResidentBytes / BYTES_PER_MEGABYTE);
  const rows = [
    ['nodes / runners', `${size.nodes} / ${size.runners}, ${result.zones} zones`],
    ['hollow processes', `${result.hollowProcesses}, ${megabytes} MB in all`],
    ['all nodes serve after', formatMs(result.startMs)],
    [
      'in force p50 / p99 / worst',
      `${formatMs(inForceMs.p50)} / ${formatMs(inForceMs.p99)} / ${formatMs(inForceMs.max)}`,
    ],
    [`${burst.changes} changes confirmed in`, formatMs(burst.confirmMs)],
    [
      'last of them in force p99 / worst',
      `${formatMs(burst.lastInForceMs.p99)} / ${formatMs(burst.lastInForceMs.max)}`,
    ],
    ['control bytes a second a node', node.bytesPerSecond.toFixed(0)],
    ['control share of a core a node', `${(node.cpuShare * 100).toFixed(2)} %`],
    ['questions for load a second a node', node.loadPollsPerSecond.toFixed(1)],
    ['leader share of a core', `${(leader.cpuShare * 100).toFixed(0)} %`],
    ['failed node noticed after', formatMs(result.detectionMs)],
    [
      'lost zone noticed / back',
      `${formatMs(zoneLost.detectionMs)} / ${formatMs(zoneLost.backMs)} (${zoneLost.nodes} nodes)`,
    ],
    [
      'restarts',
      `${restarts.count} in ${formatMs(restarts.inMs)}, slowest back ${formatMs(restarts.slowestBackMs)}`,
    ],
    [
      'region cut off',
      `${formatMs(region.cutMs)}, caught up ${formatMs(region.caughtUpMs)} (${region.nodes} nodes)`,
    ],
  ];
  return formatTable(['what', 'measured'], rows);
}
