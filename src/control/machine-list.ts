/**
 * Reads the platform's list of machines while this member leads the intents group. The list lags, so
 * it is a hint that can only make work stop sooner: what it calls leaving gets no new calls.
 */
import { type Agent, request } from 'undici';
import { z } from 'zod';
import { sleep } from '../common/index.js';

const listSchema = z.object({
  machines: z.array(z.object({ id: z.string(), state: z.enum(['live', 'leaving', 'gone']) })),
});

const POLL_INTERVAL_MS = 500;
const TIMEOUT_MS = 1_000;

export interface MachineListOptions {
  agent: Agent;
  /** `host:port` of the platform's list; without one nothing is known. */
  address: string | undefined;
}

export class MachineList {
  private stopping = new AbortController();
  private known: string[] = [];

  constructor(private readonly options: MachineListOptions) {}

  /** Machines that are leaving or gone, as far as is known. */
  get leaving(): string[] {
    return this.known;
  }

  start(): void {
    this.stopping = new AbortController();
    if (this.options.address !== undefined) void this.run(this.options.address);
  }

  stop(): void {
    this.stopping.abort();
    this.known = [];
  }

  private async run(address: string): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      try {
        const leaving = await this.read(address);
        if (!signal.aborted) this.known = leaving;
      } catch {
        // The last list stays: a hint that is out of date does no harm.
      }
      await sleep(POLL_INTERVAL_MS, signal);
    }
  }

  private async read(address: string): Promise<string[]> {
    const response = await request(`http://${address}/v1/machines`, {
      dispatcher: this.options.agent,
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    const { machines } = listSchema.parse(await response.body.json());
    return machines.filter((machine) => machine.state !== 'live').map((machine) => machine.id);
  }
}
