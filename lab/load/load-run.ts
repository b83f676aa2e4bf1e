/** Runs a seeded workload against a fleet: open loop (by rate) or closed loop (by concurrency). */
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
  /** Maximum number of root programs. */
  programs: number;
  /** Root programs per second; if set, latency is measured from the intended start. */
  ratePerSecond?: number;
  /** Number of concurrent root programs if no rate is set. */
  concurrency: number;
  /** Time after which no new programs are started, in milliseconds. */
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
    const tenantClients = clients[state.started % clients.length]!;
    const clientOf = (tenant: string): ProgramClient => tenantClients.get(tenant)!;
    await new ProgramRunner(workload.nextProgram(), { clientOf, recorder }).run(submittedAtMs);
    state.finished += 1;
    options.onProgress?.(state.started, state.finished);
  };
  if (options.ratePerSecond === undefined) await runClosedLoop(options, state, runOne);
  else await runOpenLoop(options, options.ratePerSecond, runOne);
  await closeClients(clients);
  return recorder;
}

async function runClosedLoop(
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

/** Starts programs at their scheduled times, regardless of those still running. */
async function runOpenLoop(
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
