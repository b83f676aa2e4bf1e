/** Measures the memory, snapshot size, recovery time and catch-up time of kept turns. */
import { execFile } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import type { KeptTurnsCost } from './kept-turns-host.js';
import type { Point } from './linear-fit.js';
import { type SlopeExperiment, createSlope } from './slope.js';

const HOST = fileURLToPath(new URL('kept-turns-host.js', import.meta.url));
const TURN_BYTES = 8_000;
/** Sizes of the kept turns, in MB; a typical day yields about 13 MB. */
const KEPT_MB = [10, 50, 100, 200, 350, 500];
const BYTES_PER_MB = 1_000_000;

export const keptTurnsExperiment: SlopeExperiment = {
  name: 'kept-turns',
  async run(report) {
    const memory: Point[] = [];
    const snapshot: Point[] = [];
    const start: Point[] = [];
    const catchUp: Point[] = [];
    for (const kept of KEPT_MB) {
      const turns = (kept * BYTES_PER_MB) / TURN_BYTES;
      const cost = await measure(turns);
      report(`${kept} MB: ${JSON.stringify(cost)}`);
      memory.push({ x: turns, y: cost.memoryBytes });
      snapshot.push({ x: turns, y: cost.snapshotBytes });
      start.push({ x: kept, y: cost.startMs });
      catchUp.push({ x: kept, y: cost.catchUpMs });
    }
    const role = 'control member' as const;
    const turns = `kept turns of ${TURN_BYTES} bytes`;
    const kept = 'MB of kept turns';
    const describeSlope = (name: string, driver: string, quantity: string) => {
      return { name: `kept-turns.${name}`, role, driver, quantity };
    };
    return [
      createSlope(describeSlope('memory', turns, 'bytes of heap and buffers'), memory),
      createSlope(describeSlope('snapshot', turns, 'snapshot bytes'), snapshot),
      createSlope(describeSlope('start', kept, 'ms to open the store and its index'), start),
      createSlope(describeSlope('catch-up', kept, 'ms until a new member holds them'), catchUp),
    ];
  },
};

async function measure(turns: number): Promise<KeptTurnsCost> {
  const folder = await mkdtemp(join(tmpdir(), 'ledgegauge-kept-turns-'));
  try {
    const sizes = [String(turns), String(TURN_BYTES), folder];
    const { stdout } = await promisify(execFile)(process.execPath, [HOST, ...sizes]);
    return JSON.parse(stdout) as KeptTurnsCost;
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}
