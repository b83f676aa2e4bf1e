/** Starts a fleet of processes on one machine, injects faults and stops it. */
import { mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { request } from 'undici';
import { OperatorClient } from '../../src/cli/operator-client.js';
import { LedgegaugeError, describeError, monotonicMs, sleep } from '../../src/common/index.js';
import type { IntentDocument, PartialDocument, Plan, Revision } from '../../src/intents/index.js';
import type { SystemStatus } from '../../src/operators/index.js';
import type { LinkFault } from '../../emulator/fault-proxy/fault-proxy-settings.js';
import { FleetProcess } from './fleet-process.js';
import { PortAllocator } from './ports.js';
import {
  type FleetPlan,
  type FleetPlanOptions,
  type ProcessKind,
  planFleet,
} from './fleet-plan.js';

/** An operation on the fleet failed or timed out. */
export class FleetError extends LedgegaugeError {}

export interface FleetOptions extends Omit<FleetPlanOptions, 'ports'> {
  /** Called for each started process. */
  onProgress?: (done: number, total: number, step: string) => void;
  /** Called before any process is started, so that an interrupt can stop the fleet. */
  onCreated?: (fleet: Fleet) => void;
}

const START_TIMEOUT_MS = 40_000;
const STOP_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 50;
/** Number of processes started concurrently; limits the load on small machines. */
const START_BATCH_SIZE = 8;

export class Fleet {
  readonly processes = new Map<string, FleetProcess>();

  private constructor(
    readonly plan: FleetPlan,
    readonly workFolder: string,
    private readonly ports: PortAllocator,
  ) {}

  /** Starts all processes, applies the intents and waits until the gateways are ready. */
  static async up(options: FleetOptions): Promise<Fleet> {
    mkdirSync(join(options.workFolder, 'records'), { recursive: true });
    const ports = new PortAllocator();
    const plan = await planFleet({ ...options, ports });
    const fleet = new Fleet(plan, options.workFolder, ports);
    options.onCreated?.(fleet);
    for (const planned of plan.processes) {
      fleet.processes.set(planned.name, new FleetProcess(planned, options.workFolder));
    }
    try {
      await fleet.startAll(options);
      await fleet.applyIntents(plan.intents);
      await fleet.waitUntilGatewaysReady();
    } catch (error) {
      await fleet.down();
      throw error;
    }
    return fleet;
  }

  get operator(): OperatorClient {
    const controls = this.ofKind('control');
    const addresses = controls.map((control) => control.plan.operatorAddress!);
    return new OperatorClient({ addresses, key: this.plan.operatorKey });
  }

  process(name: string): FleetProcess {
    const process = this.processes.get(name);
    if (!process) throw new FleetError('no such process', { step: 'fleet.find', peer: name });
    return process;
  }

  ofKind(kind: ProcessKind): FleetProcess[] {
    return [...this.processes.values()].filter((process) => process.plan.kind === kind);
  }

  /** Plans and confirms an intent document; resolves with the accepted revision. */
  async applyIntents(document: IntentDocument | PartialDocument): Promise<Revision> {
    const plan = await this.retry('intents.plan', () =>
      this.operator.post<Plan>('/v1/plans', document),
    );
    return this.retry('intents.confirm', () =>
      this.operator.post<Revision>(`/v1/plans/${plan.id}/confirm`, {}),
    );
  }

  status(): Promise<SystemStatus> {
    return this.operator.get<SystemStatus>('/v1/status');
  }

  /** Sets a fault on links by name (`*` matches any text); an empty fault clears it. */
  async setFault(links: string[], fault: Partial<LinkFault>): Promise<void> {
    await Promise.all(
      this.ofKind('fault-proxy').map(async (proxy) => {
        const response = await request(`http://${proxy.plan.address}/v1/faults`, {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify({ links, fault }),
        });
        await response.body.dump();
        if (response.statusCode !== 200) {
          throw new FleetError('fault proxy rejected the fault', {
            step: 'fleet.fault',
            peer: proxy.name,
          });
        }
      }),
    );
  }

  clearFaults(): Promise<void> {
    return this.setFault(['*'], {});
  }

  /** Kills a process, deletes its data folder and restarts it. */
  async loseDisk(name: string): Promise<void> {
    const process = this.process(name);
    await process.kill();
    rmSync(process.plan.dataFolder!, { recursive: true, force: true });
    await process.start();
  }

  /** Polls until `condition` holds. @throws FleetError after `timeoutMs` */
  async waitFor(
    step: string,
    condition: () => Promise<boolean>,
    timeoutMs: number = START_TIMEOUT_MS,
  ): Promise<void> {
    const deadline = monotonicMs() + timeoutMs;
    let lastProblem = 'condition not met';
    while (monotonicMs() < deadline) {
      try {
        if (await condition()) return;
      } catch (error) {
        lastProblem = describeError(error);
      }
      await sleep(POLL_INTERVAL_MS);
    }
    throw new FleetError(`timed out: ${lastProblem}`, { step });
  }

  waitUntilGatewaysReady(): Promise<void> {
    return this.waitFor('gateways ready', async () => {
      const readiness = await Promise.all(
        this.ofKind('gateway').map((gateway) => isReady(gateway.plan.statusAddress!)),
      );
      return readiness.every(Boolean);
    });
  }

  /** Stops all processes: gateways first, then the processes that they depend on. */
  async down(): Promise<void> {
    const order: ProcessKind[][] = [
      ['gateway'],
      ['control'],
      ['engine', 'service', 'tool', 'weights', 'machines'],
      ['fault-proxy'],
    ];
    for (const kinds of order) {
      const stopping = kinds.flatMap((kind) => this.ofKind(kind));
      await Promise.all(stopping.map((process) => process.stop(STOP_TIMEOUT_MS)));
    }
    await this.ports.release();
  }

  /** Kills all processes; used when the tool is interrupted. */
  killAll(): void {
    for (const process of this.processes.values()) process.signal('SIGKILL');
  }

  private async startAll(options: FleetOptions): Promise<void> {
    const pending = [...this.processes.values()];
    const total = pending.length;
    let startedCount = 0;
    while (pending.length > 0) {
      const batch = pending.splice(0, START_BATCH_SIZE);
      await Promise.all(
        batch.map(async (process) => {
          await process.start();
          startedCount += 1;
          options.onProgress?.(startedCount, total, process.name);
        }),
      );
    }
  }

  private async retry<T>(step: string, work: () => Promise<T>): Promise<T> {
    const deadline = monotonicMs() + START_TIMEOUT_MS;
    for (;;) {
      try {
        return await work();
      } catch (cause) {
        if (monotonicMs() >= deadline) throw new FleetError('timed out', { step, cause });
        await sleep(POLL_INTERVAL_MS);
      }
    }
  }
}

async function isReady(statusAddress: string): Promise<boolean> {
  const response = await request(`http://${statusAddress}/readyz`);
  await response.body.dump();
  return response.statusCode === 200;
}
