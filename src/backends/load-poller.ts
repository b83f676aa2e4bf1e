/** Asks every engine for its load, again and again; one task an engine. */
import { Agent } from 'undici';
import { z } from 'zod';
import { sleep } from '../common/index.js';
import type { Backend } from './backend.js';
import type { BackendTable } from './backend-table.js';
import { callBackend } from './http-call.js';

export interface LoadPollerOptions {
  table: BackendTable;
  intervalMs: number;
  resolveAddress: (address: string) => string;
}

const loadSchema = z.object({
  waiting: z.number(),
  running: z.number(),
  pendingPrefillTokens: z.number(),
  usedBlocks: z.number(),
  capacityBlocks: z.number(),
});

const TIMEOUT_MS = 1_000;

export class LoadPoller {
  private readonly agent = new Agent({ connections: 1, connect: { timeout: TIMEOUT_MS } });
  private readonly stopping = new AbortController();
  private readonly polled = new Set<Backend>();

  constructor(private readonly options: LoadPollerOptions) {}

  /** Starts tasks for engines that are new in the table. */
  update(): void {
    for (const backend of this.options.table.all()) {
      if (backend.intent.kind !== 'engine' || this.polled.has(backend)) continue;
      this.polled.add(backend);
      void this.poll(backend);
    }
  }

  stop(): Promise<void> {
    this.stopping.abort();
    return this.agent.destroy();
  }

  private async poll(backend: Backend): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted && this.options.table.find(backend.id) === backend) {
      try {
        backend.noteReport(await this.fetchLoad(backend.intent.address));
      } catch {
        // The last report stays; failing calls open the circuit.
      }
      await sleep(this.options.intervalMs, signal);
    }
    this.polled.delete(backend);
  }

  private async fetchLoad(address: string): Promise<z.infer<typeof loadSchema>> {
    const response = await callBackend(this.agent, {
      step: 'engine.load',
      address: this.options.resolveAddress(address),
      method: 'GET',
      path: '/v1/load',
      headersTimeoutMs: TIMEOUT_MS,
      idleTimeoutMs: TIMEOUT_MS,
    });
    return loadSchema.parse(await response.body.json());
  }
}
