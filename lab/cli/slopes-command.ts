/** `slopes` command: measures how processor time, memory and bytes of each role grow with load. */
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
/** Fits with a lower R² or a stronger bend are marked in the table. */
const MIN_R_SQUARED = 0.95;
const MAX_BEND = 1.6;

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
  writeFileSync(join(flags.output, 'slopes.svg'), drawScatterPlots(all.map(toScatterPlot)));
  const text = flags.json ? JSON.stringify({ slopes }) : formatSlopes(slopes);
  process.stdout.write(`${text}\n`);
}

/** Reads the results of earlier runs. */
function readSlopes(file: string): Slope[] {
  if (!existsSync(file)) return [];
  return (JSON.parse(readFileSync(file, 'utf8')) as { slopes: Slope[] }).slopes;
}

/** Replaces earlier slopes by new ones of the same name. */
function replaceSlopes(previous: readonly Slope[], current: readonly Slope[]): Slope[] {
  const names = new Set(current.map((slope) => slope.name));
  return [...previous.filter((slope) => !names.has(slope.name)), ...current];
}

function selectExperiments(only: string): readonly SlopeExperiment[] {
  if (only === 'all') return EXPERIMENTS;
  return only.split(',').map((name) => {
    const found = EXPERIMENTS.find((experiment) => experiment.name === name);
    if (found) return found;
    const known = EXPERIMENTS.map((experiment) => experiment.name).join(', ');
    throw new LedgegaugeError(`unknown experiment ${name}; available experiments: ${known}`, {
      step: 'cli.usage',
    });
  });
}

function toScatterPlot(slope: Slope): Parameters<typeof drawScatterPlots>[0][number] {
  const { name, driver, quantity, points, fit } = slope;
  return { title: name, xLabel: driver, yLabel: quantity, points, line: fit };
}

function formatSlopes(slopes: readonly Slope[]): string {
  const rows = slopes.map(({ name, quantity, driver, fit }) => [
    name,
    fit.slope.toPrecision(3),
    fit.intercept.toPrecision(3),
    fit.rSquared.toFixed(3),
    describeFit(fit),
    `${quantity} for each of ${driver}`,
  ]);
  return formatTable(['slope', 'per unit', 'at zero', 'R2', 'line', 'of'], rows);
}

function describeFit({ rSquared, bend }: Slope['fit']): string {
  if (bend > MAX_BEND) return `bends up ${bend.toFixed(1)}`;
  if (bend < 1 / MAX_BEND) return `bends down ${bend.toFixed(1)}`;
  return rSquared >= MIN_R_SQUARED ? 'straight' : 'scattered';
}
