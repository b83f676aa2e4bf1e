/**
 * Polls the platform's list of machines while this member leads the intents group. The list lags, so it is only a
 * hint: machines that it lists as leaving get no new calls.
 */
import { type Agent, request } from 'undici';
import { z } from 'zod';
import { sleep } from '../common/index.js';
import { readBoundedJson } from '../http/index.js';

const listSchema = z.object({
  machines: z.array(z.object({ id: z.string(), state: z.enum(['live', 'leaving', 'gone']) })),
});

const POLL_INTERVAL_MS = 500;
const TIMEOUT_MS = 1_000;
const LIST_BOUNDS = { maxBytes: 4 * 1024 * 1024, timeoutMs: TIMEOUT_MS };

export interface MachineListOptions {
  agent: Agent;
  /** `host:port` of the platform's list; if undefined, the list stays empty. */
  address: string | undefined;
}

export class MachineList {
  private stopping = new AbortController();
  private latest: string[] = [];

  constructor(private readonly options: MachineListOptions) {}

  /** Machines that are leaving or gone according to the latest list. */
  get leaving(): string[] {
    return this.latest;
  }

  start(): void {
    this.stopping = new AbortController();
    if (this.options.address !== undefined) void this.run(this.options.address);
  }

  stop(): void {
    this.stopping.abort();
    this.latest = [];
  }

  private async run(address: string): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      try {
        const leaving = await this.read(address);
        if (!signal.aborted) this.latest = leaving;
      } catch {
        // Keeps the last list: an outdated hint is harmless.
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
    const { machines } = listSchema.parse(await readBoundedJson(response.body, LIST_BOUNDS));
    return machines.filter((machine) => machine.state !== 'live').map((machine) => machine.id);
  }
}
