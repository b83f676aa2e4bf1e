/** Fenced orders of an emulated engine: its role, and the models that it serves. */
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

  /** @param weightStore address to load models from; if undefined, models load instantly */
  constructor(private readonly weightStore: string | undefined) {}

  get role(): 'active' | 'draining' {
    return this.current?.role ?? 'active';
  }

  /** Before the first order, an engine serves every model. */
  serves(model: string): boolean {
    return this.current === undefined || this.current.models.some((entry) => entry.id === model);
  }

  /** Applies an order unless a newer one was applied before; returns whether it did. */
  apply(order: EngineOrderBody): boolean {
    if (this.current && order.fence < this.current.fence) return false;
    this.current = order;
    return true;
  }

  /** Loads the models and adapters of the current order that are not loaded yet. */
  async loadModels(): Promise<void> {
    for (const { id, version, adapters } of this.current?.models ?? []) {
      for (const artifact of [id, ...adapters]) await this.loadArtifact(`${artifact}@${version}`);
    }
  }

  private async loadArtifact(key: string): Promise<void> {
    if (this.loaded.has(key)) return;
    if (this.weightStore !== undefined) {
      const response = await request(`http://${this.weightStore}/v1/weights/${key}`);
      await response.body.dump();
      if (response.statusCode !== 200) return;
    }
    this.loaded.add(key);
  }
}
