/** Drives a seeded workload against a fleet: open loop (a rate) or closed loop (so many at once). */
import type { ProgramClient } from '../../src/client/index.js';
import { SeededRandom, monotonicMs, sleep } from '../../src/common/index.js';
import type { Fleet } from '../fleet/fleet.js';
import { ProgramRunner } from '../workload/program-runner.js';
import { WorkloadRecorder } from '../workload/recorder.js';
import { closeClients, createGatewayClients } from './gateway-clients.js';
import { Workload } from '../workload/workload.js';

export interface LoadOptions {
  seed: number;
  timeScale: number;
  sizeScale: number;
  /** Root programs to submit at most. */
  programs: number;
  /** Root programs a second; with a rate, latency counts from the intended start. */
  ratePerSecond?: number;
  /** Root programs at a time, when there is no rate. */
  concurrency: number;
  /** No new programs after this time, in milliseconds. */
  durationMs: number;
  patienceMs: number;
  onProgress?: (started: number, finished: number) => void;
  recorder?: WorkloadRecorder;
}

const MS_PER_SECOND = 1_000;

export async function runLoad(fleet: Fleet, options: LoadOptions): Promise<WorkloadRecorder> {
  const { deployment } = fleet.plan;
  const { seed, timeScale, sizeScale, patienceMs } = options;
  const workload = new Workload({ deployment, seed, timeScale, sizeScale });
  const recorder = options.recorder ?? new WorkloadRecorder();
  const clients = createGatewayClients(fleet, { patienceMs });
  const state = { started: 0, finished: 0 };
  const runOne = async (submittedAtMs: number): Promise<void> => {
    state.started += 1;
    const pool = clients[state.started % clients.length]!;
    const clientOf = (tenant: string): ProgramClient => pool.get(tenant)!;
    await new ProgramRunner(workload.nextProgram(), { clientOf, recorder }).run(submittedAtMs);
    state.finished += 1;
    options.onProgress?.(state.started, state.finished);
  };
  if (options.ratePerSecond === undefined) await runClosed(options, state, runOne);
  else await runOpen(options, options.ratePerSecond, runOne);
  await closeClients(clients);
  return recorder;
}

async function runClosed(
  options: LoadOptions,
  state: { started: number },
  runOne: (submittedAtMs: number) => Promise<void>,
): Promise<void> {
  const endAt = monotonicMs() + options.durationMs;
  const worker = async (): Promise<void> => {
    while (state.started < options.programs && monotonicMs() < endAt) await runOne(Date.now());
  };
  await Promise.all(Array.from({ length: options.concurrency }, worker));
}

/** Programs start when they are due, whether or not earlier ones have ended. */
async function runOpen(
  options: LoadOptions,
  ratePerSecond: number,
  runOne: (submittedAtMs: number) => Promise<void>,
): Promise<void> {
  const arrivals = new SeededRandom(options.seed ^ 0x5eed);
  const startedAt = monotonicMs();
  const running: Promise<void>[] = [];
  let dueMs = 0;
  for (let count = 0; count < options.programs && dueMs < options.durationMs; count += 1) {
    await sleep(Math.max(0, startedAt + dueMs - monotonicMs()));
    const lateMs = monotonicMs() - (startedAt + dueMs);
    running.push(runOne(Date.now() - lateMs));
    dueMs += arrivals.exponential(MS_PER_SECOND / ratePerSecond);
  }
  await Promise.all(running);
}
