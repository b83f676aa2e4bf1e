/** The load of a torture seed: concurrent workers that run programs, some with tight budgets. */
import type { ProgramClient } from '../../src/client/index.js';
import { SeededRandom } from '../../src/common/index.js';
import type { Fleet } from '../fleet/fleet.js';
import { type TenantClients, closeClients, createGatewayClients } from '../load/gateway-clients.js';
import type { ProgramPlan } from '../workload/program-plan.js';
import { ProgramRunner } from '../workload/program-runner.js';
import { Workload } from '../workload/workload.js';
import type { HistoryRecorder } from './history-recorder.js';

/** Wall-clock time per unit of model time of the engines. */
export const TORTURE_TIME_SCALE = 0.06;
const SIZE_SCALE = 0.25;
const WORKER_COUNT = 12;
const CALL_TIMEOUT_MS = 25_000;
const SILENCE_TIMEOUT_MS = 6_000;
const TIGHT_BUDGET_PROBABILITY = 0.3;
const TIGHT_BUDGET_RANGE = [1_500, 9_000] as const;

export class TortureLoad {
  private readonly workload: Workload;
  private readonly random: SeededRandom;
  private readonly clients: TenantClients[];
  private workers: Promise<void>[] = [];
  private isStopping = false;

  constructor(
    fleet: Fleet,
    private readonly recorder: HistoryRecorder,
    seed: number,
  ) {
    const { deployment } = fleet.plan;
    this.workload = new Workload({
      deployment,
      seed,
      timeScale: TORTURE_TIME_SCALE,
      sizeScale: SIZE_SCALE,
    });
    this.random = new SeededRandom(seed);
    this.clients = createGatewayClients(fleet, {
      patienceMs: CALL_TIMEOUT_MS,
      silenceMs: SILENCE_TIMEOUT_MS,
      onExchange: (exchange) => recorder.recordExchange(exchange),
    });
  }

  start(): void {
    this.workers = Array.from({ length: WORKER_COUNT }, (_, index) => this.runWorker(index));
  }

  /** Starts no more programs and waits for running ones. */
  async stop(): Promise<void> {
    this.isStopping = true;
    await Promise.all(this.workers);
    await closeClients(this.clients);
  }

  private async runWorker(index: number): Promise<void> {
    const pool = this.clients[index % this.clients.length]!;
    while (!this.isStopping) {
      const plan = this.nextPlan();
      const clientOf = (tenant: string): ProgramClient => pool.get(tenant)!;
      await new ProgramRunner(plan, { clientOf, recorder: this.recorder.workload }).run();
    }
  }

  private nextPlan(): ProgramPlan {
    const plan = this.workload.nextProgram();
    if (!this.random.chance(TIGHT_BUDGET_PROBABILITY)) return plan;
    return { ...plan, budget: this.random.integer(...TIGHT_BUDGET_RANGE) };
  }
}
