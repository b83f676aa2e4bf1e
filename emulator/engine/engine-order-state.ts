/** Fenced orders that an emulated engine has taken: role, and which models are loaded. */
import { request } from 'undici';
import { z } from 'zod';

export const orderSchema = z.object({
  fence: z.number().int(),
  role: z.enum(['active', 'draining']),
  models: z.array(z.object({ id: z.string(), version: z.string(), adapters: z.array(z.string()) })),
});

export type EngineOrderBody = z.infer<typeof orderSchema>;

export class EngineOrderState {
  private current: EngineOrderBody | undefined;
  private readonly loaded = new Set<string>();

  /** @param weightStore where models are loaded from; models are there at once without one */
  constructor(private readonly weightStore: string | undefined) {}

  get role(): 'active' | 'draining' {
    return this.current?.role ?? 'active';
  }

  /** Before the first order an engine serves what it is asked for. */
  serves(model: string): boolean {
    return this.current === undefined || this.current.models.some((entry) => entry.id === model);
  }

  /** Takes an order unless a newer one is known. */
  apply(order: EngineOrderBody): boolean {
    if (this.current && order.fence < this.current.fence) return false;
    this.current = order;
    return true;
  }

  /** Loads what the current order names and is not loaded yet. */
  async loadModels(): Promise<void> {
    for (const { id, version, adapters } of this.current?.models ?? []) {
      for (const part of [id, ...adapters]) await this.loadOne(`${part}@${version}`);
    }
  }

  private async loadOne(key: string): Promise<void> {
    if (this.loaded.has(key)) return;
    if (this.weightStore !== undefined) {
      const response = await request(`http://${this.weightStore}/v1/weights/${key}`);
      await response.body.dump();
      if (response.statusCode !== 200) return;
    }
    this.loaded.add(key);
  }
}
