/** `slopes`: how processor time, memory and bytes of each role grow with what drives them. */
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { LedgegaugeError } from '../../src/common/index.js';
import { drawScatterPlots } from '../plots/scatter-plot.js';
import { gatewayExperiment } from '../slopes/gateway-experiment.js';
import { callExperiment, groupExperiment } from '../slopes/journal-experiment.js';
import { keptTurnsExperiment } from '../slopes/kept-turns-experiment.js';
import type { Slope, SlopeExperiment } from '../slopes/slope.js';
import { stateExperiment } from '../slopes/state-experiment.js';
import { formatTable } from './table.js';

export interface SlopesFlags {
  only: string;
  output: string;
  json?: boolean;
}

const EXPERIMENTS: readonly SlopeExperiment[] = [
  callExperiment,
  groupExperiment,
  stateExperiment,
  keptTurnsExperiment,
  gatewayExperiment,
];
/** A line that explains less, or bends more, is called out. */
const GOOD_R_SQUARED = 0.95;
const BEND_LIMIT = 1.6;

export async function runSlopes(flags: SlopesFlags): Promise<void> {
  const slopes: Slope[] = [];
  for (const experiment of selectExperiments(flags.only)) {
    const report = (step: string): void => {
      process.stderr.write(`${experiment.name}: ${step}\n`);
    };
    slopes.push(...(await experiment.run(report)));
  }
  mkdirSync(flags.output, { recursive: true });
  const file = join(flags.output, 'slopes.json');
  const all = flags.only === 'all' ? slopes : replaceSlopes(readSlopes(file), slopes);
  writeFileSync(file, `${JSON.stringify({ slopes: all }, null, 2)}\n`);
  writeFileSync(join(flags.output, 'slopes.svg'), drawScatterPlots(all.map(plotOf)));
  const text = flags.json ? JSON.stringify({ slopes }) : slopesTable(slopes);
  process.stdout.write(`${text}\n`);
}

/** What earlier runs measured. */
function readSlopes(file: string): Slope[] {
  if (!existsSync(file)) return [];
  return (JSON.parse(readFileSync(file, 'utf8')) as { slopes: Slope[] }).slopes;
}

/** Puts new measurements in the place of old ones of the same name. */
function replaceSlopes(old: readonly Slope[], fresh: readonly Slope[]): Slope[] {
  const names = new Set(fresh.map((slope) => slope.name));
  return [...old.filter((slope) => !names.has(slope.name)), ...fresh];
}

function selectExperiments(only: string): readonly SlopeExperiment[] {
  if (only === 'all') return EXPERIMENTS;
  return only.split(',').map((name) => {
    const found = EXPERIMENTS.find((experiment) => experiment.name === name);
    if (found) return found;
    const known = EXPERIMENTS.map((experiment) => experiment.name).join(', ');
    throw new LedgegaugeError(`no experiment ${name}; there are: ${known}`, { step: 'cli.usage' });
  });
}

function plotOf(slope: Slope): Parameters<typeof drawScatterPlots>[0][number] {
  const { name, driver, quantity, points, fit } = slope;
  return { title: name, xLabel: driver, yLabel: quantity, points, line: fit };
}

function slopesTable(slopes: readonly Slope[]): string {
  const rows = slopes.map(({ name, quantity, driver, fit }) => [
    name,
    fit.slope.toPrecision(3),
    fit.intercept.toPrecision(3),
    fit.rSquared.toFixed(3),
    remarkOn(fit),
    `${quantity} for each of ${driver}`,
  ]);
  return formatTable(['slope', 'per unit', 'at zero', 'R2', 'line', 'of'], rows);
}

function remarkOn({ rSquared, bend }: Slope['fit']): string {
  if (bend > BEND_LIMIT) return `bends up ${bend.toFixed(1)}`;
  if (bend < 1 / BEND_LIMIT) return `bends down ${bend.toFixed(1)}`;
  return rSquared >= GOOD_R_SQUARED ? 'straight' : 'scattered';
}
