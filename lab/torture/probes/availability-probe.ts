/** Callers that send one small call after the other and note how long each takes. */
import { ProgramClient } from '../../../src/client/index.js';
import { monotonicMs, sleep } from '../../../src/common/index.js';
import type { Fleet } from '../../fleet/fleet.js';

const PAUSE_MS = 25;
const PATIENCE_MS = 20_000;
const SILENCE_MS = 2_000;
const PROBES_PER_GATEWAY = 2;

/** One probe's time from the first try to the answer. */
export interface ProbeTime {
  startedAtMs: number;
  endedAtMs: number;
  succeeded: boolean;
}

export class AvailabilityProbe {
  readonly times: ProbeTime[] = [];
  private readonly stopping = new AbortController();
  private readonly clients: ProgramClient[] = [];
  private tasks: Promise<void>[] = [];

  constructor(private readonly fleet: Fleet) {}

  start(): void {
    const { clientGateways, tenantKeys } = this.fleet.plan;
    const [tenant] = this.fleet.plan.deployment.tenants;
    const starts = clientGateways.flatMap((_, index) =>
      Array.from({ length: PROBES_PER_GATEWAY }, () => index),
    );
    for (const index of starts) {
      const gateways = [...clientGateways.slice(index), ...clientGateways.slice(0, index)];
      const client = new ProgramClient({
        gateways,
        apiKey: tenantKeys[tenant!]!,
        patienceMs: PATIENCE_MS,
        silenceMs: SILENCE_MS,
      });
      this.clients.push(client);
      this.tasks.push(this.probe(client));
    }
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all(this.tasks);
    await Promise.all(this.clients.map((client) => client.close()));
  }

  /** The longest that a caller waited for a small call begun in a span of time. */
  longestWait(fromMs: number, untilMs: number): number {
    const within = this.times.filter(
      ({ startedAtMs, endedAtMs }) => endedAtMs >= fromMs && startedAtMs <= untilMs,
    );
    return Math.max(0, ...within.map(({ startedAtMs, endedAtMs }) => endedAtMs - startedAtMs));
  }

  private async probe(client: ProgramClient): Promise<void> {
    const { model } = this.fleet.plan.deployment;
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const startedAtMs = monotonicMs();
      let succeeded = true;
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
        succeeded = false;
      }
      this.times.push({ startedAtMs, endedAtMs: monotonicMs(), succeeded });
      await sleep(PAUSE_MS, signal);
    }
  }
}
