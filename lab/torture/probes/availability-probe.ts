/** Callers that send small calls sequentially and record their durations. */
import type { ProgramClient } from '../../../src/client/index.js';
import { monotonicMs, sleep } from '../../../src/common/index.js';
import type { Fleet } from '../../fleet/fleet.js';
import {
  type TenantClients,
  closeClients,
  createGatewayClients,
} from '../../load/gateway-clients.js';

const PAUSE_MS = 25;
const CALL_TIMEOUT_MS = 20_000;
const SILENCE_TIMEOUT_MS = 2_000;
const PROBES_PER_GATEWAY = 2;

/** The time of a probe from the first attempt to the answer. */
export interface ProbeInterval {
  startedAtMs: number;
  endedAtMs: number;
}

export class AvailabilityProbe {
  readonly intervals: ProbeInterval[] = [];
  private readonly stopController = new AbortController();
  private readonly clients: TenantClients[] = [];
  private tasks: Promise<void>[] = [];

  constructor(private readonly fleet: Fleet) {}

  start(): void {
    const [tenant] = this.fleet.plan.deployment.tenants;
    const options = { patienceMs: CALL_TIMEOUT_MS, silenceMs: SILENCE_TIMEOUT_MS };
    for (let probe = 0; probe < PROBES_PER_GATEWAY; probe += 1) {
      const sets = createGatewayClients(this.fleet, options);
      this.clients.push(...sets);
      this.tasks.push(...sets.map((clients) => this.probe(clients.get(tenant!)!)));
    }
  }

  async stop(): Promise<void> {
    this.stopController.abort();
    await Promise.all(this.tasks);
    await closeClients(this.clients);
  }

  /** Returns the longest duration of the probes that overlap a time span. */
  longestWait(fromMs: number, untilMs: number): number {
    const within = this.intervals.filter(
      ({ startedAtMs, endedAtMs }) => endedAtMs >= fromMs && startedAtMs <= untilMs,
    );
    return Math.max(0, ...within.map(({ startedAtMs, endedAtMs }) => endedAtMs - startedAtMs));
  }

  private async probe(client: ProgramClient): Promise<void> {
    const { model } = this.fleet.plan.deployment;
    const { signal } = this.stopController;
    while (!signal.aborted) {
      const startedAtMs = monotonicMs();
      try {
        const program = await client.openProgram({ model });
        await program.callService({
          name: 'heartbeat',
          operation: 'read',
          payload: 'probe',
          repeatable: true,
        });
        void program.end().catch(() => undefined);
      } catch {
        // Failed probes count with their duration.
      }
      this.intervals.push({ startedAtMs, endedAtMs: monotonicMs() });
      await sleep(PAUSE_MS, signal);
    }
  }
}
