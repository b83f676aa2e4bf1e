/** Measures the memory and snapshot size of programs and their histories in a journal member. */
import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import type { JournalMemory } from './journal-memory-host.js';
import type { Point } from './linear-fit.js';
import { type SlopeExperiment, createSlope } from './slope.js';

const HOST = fileURLToPath(new URL('journal-memory-host.js', import.meta.url));
const PROGRAM_COUNTS = [2_000, 4_000, 8_000, 16_000, 32_000];
const CALLS_PER_PROGRAM = 4;
const SHORT_CALL_TOKENS = 20;
const HISTORY_PROGRAMS = 500;
const HISTORY_TOKENS = [2_000, 5_000, 10_000, 20_000, 40_000];
const HISTORY_CALLS = 10;

export const stateExperiment: SlopeExperiment = {
  name: 'state',
  async run(report) {
    const perProgram: Point[] = [];
    const snapshotTime: Point[] = [];
    for (const programs of PROGRAM_COUNTS) {
      report(`${programs} programs`);
      const memory = await measure(programs, CALLS_PER_PROGRAM, SHORT_CALL_TOKENS);
      perProgram.push({ x: programs, y: memory.heapBytes });
      snapshotTime.push({ x: programs, y: memory.snapshotMs });
    }
    const perToken: Point[] = [];
    const snapshotBytes: Point[] = [];
    for (const tokens of HISTORY_TOKENS) {
      report(`${tokens} tokens of history`);
      const memory = await measure(HISTORY_PROGRAMS, HISTORY_CALLS, tokens / HISTORY_CALLS);
      perToken.push({ x: tokens, y: memory.heapBytes / HISTORY_PROGRAMS });
      snapshotBytes.push({ x: tokens, y: memory.snapshotBytes / HISTORY_PROGRAMS });
    }
    const role = 'control member' as const;
    const programs = 'programs of four short calls';
    const tokens = 'tokens of history of a program of ten calls';
    return [
      createSlope(
        { name: 'state.program-heap', role, driver: programs, quantity: 'heap bytes' },
        perProgram,
      ),
      createSlope(
        {
          name: 'state.snapshot-time',
          role,
          driver: programs,
          quantity: 'ms to encode a snapshot',
        },
        snapshotTime,
      ),
      createSlope(
        { name: 'state.token-heap', role, driver: tokens, quantity: 'heap bytes a program' },
        perToken,
      ),
      createSlope(
        {
          name: 'state.token-snapshot',
          role,
          driver: tokens,
          quantity: 'snapshot bytes a program',
        },
        snapshotBytes,
      ),
    ];
  },
};

async function measure(
  programs: number,
  callsEach: number,
  tokensPerCall: number,
): Promise<JournalMemory> {
  const flags = ['--expose-gc', '--max-old-space-size=6000', HOST];
  const sizes = [programs, callsEach, tokensPerCall].map(String);
  const { stdout } = await promisify(execFile)(process.execPath, [...flags, ...sizes]);
  return JSON.parse(stdout) as JournalMemory;
}
