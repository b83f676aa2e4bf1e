/** What kept turns take of a journal's memory and time, however much is kept on its disk. */
import { execFile } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import type { KeptTurnsFigures } from './kept-turns-host.js';
import type { Point } from './linear-fit.js';
import { type SlopeExperiment, createSlope } from './slope.js';

const HOST = fileURLToPath(new URL('kept-turns-host.js', import.meta.url));
const TURN_BYTES = 8_000;
/** 10 to 500 MB of what was said; a standard day keeps some 13 MB. */
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
      const figures = await measure(turns);
      report(`${kept} MB: ${JSON.stringify(figures)}`);
      memory.push({ x: turns, y: figures.memoryBytes });
      snapshot.push({ x: turns, y: figures.snapshotBytes });
      start.push({ x: kept, y: figures.startMs });
      catchUp.push({ x: kept, y: figures.catchUpMs });
    }
    const role = 'control member' as const;
    const turns = `kept turns of ${TURN_BYTES} bytes`;
    const kept = 'MB of kept turns';
    const describe = (name: string, driver: string, quantity: string) => {
      return { name: `kept-turns.${name}`, role, driver, quantity };
    };
    return [
      createSlope(describe('memory', turns, 'bytes of heap and buffers'), memory),
      createSlope(describe('snapshot', turns, 'snapshot bytes'), snapshot),
      createSlope(describe('start', kept, 'ms to open the store and its index'), start),
      createSlope(describe('catch-up', kept, 'ms until a new member holds them'), catchUp),
    ];
  },
};

async function measure(turns: number): Promise<KeptTurnsFigures> {
  const folder = await mkdtemp(join(tmpdir(), 'ledgegauge-kept-turns-'));
  try {
    const sizes = [String(turns), String(TURN_BYTES), folder];
    const { stdout } = await promisify(execFile)(process.execPath, [HOST, ...sizes]);
    return JSON.parse(stdout) as KeptTurnsFigures;
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}
