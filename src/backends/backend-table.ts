/** The back ends that the current configuration names, and those of them that this gateway uses. */
import type { IntentDocument } from '../intents/index.js';
import { Backend } from './backend.js';
import { type SubsetOwner, chooseSubset } from './engine-subset.js';

export interface BackendTableOptions {
  engineConcurrency: number;
  serviceConcurrency: number;
  /** Engines of one model that this gateway considers at most. */
  engineSubset: number;
  owner: SubsetOwner;
}

export class BackendTable {
  private readonly backends = new Map<string, Backend>();
  private subsets = new Map<string, Backend[]>();

  constructor(private readonly options: BackendTableOptions) {}

  /** Takes over a new configuration; what is known of unchanged back ends stays. */
  update(document: IntentDocument): void {
    const present = new Set<string>();
    for (const intent of document.backends) {
      present.add(intent.id);
      const known = this.backends.get(intent.id);
      if (known && known.intent.address === intent.address) known.intent = intent;
      else this.backends.set(intent.id, new Backend(intent, this.concurrencyOf(intent.kind)));
    }
    for (const id of this.backends.keys()) if (!present.has(id)) this.backends.delete(id);
    this.chooseSubsets();
  }

  /** Takes over which machines the platform calls leaving. */
  markLeaving(machines: readonly string[]): void {
    const leaving = new Set(machines);
    for (const backend of this.backends.values()) backend.isLeaving = leaving.has(backend.id);
  }

  find(id: string): Backend | undefined {
    return this.backends.get(id);
  }

  /** @param previous the engine that served the program before; considered wherever it is */
  enginesFor(model: string, previous?: string): Backend[] {
    const subset = this.subsets.get(model) ?? [];
    const earlier = previous === undefined ? undefined : this.backends.get(previous);
    const isExtra = earlier?.intent.models.includes(model) && !subset.includes(earlier);
    return isExtra ? [...subset, earlier!] : subset;
  }

  servicesFor(service: string): Backend[] {
    return this.all().filter(
      ({ intent }) => intent.kind === 'service' && intent.services.includes(service),
    );
  }

  /** Engines whose load this gateway follows. */
  watchedEngines(): Set<Backend> {
    return new Set([...this.subsets.values()].flat());
  }

  all(): Backend[] {
    return [...this.backends.values()];
  }

  private chooseSubsets(): void {
    const byModel = new Map<string, Backend[]>();
    for (const backend of this.backends.values()) {
      if (backend.intent.kind !== 'engine') continue;
      for (const model of backend.intent.models) {
        byModel.set(model, [...(byModel.get(model) ?? []), backend]);
      }
    }
    const { owner, engineSubset } = this.options;
    this.subsets = new Map(
      [...byModel].map(([model, engines]) => [model, chooseSubset(engines, owner, engineSubset)]),
    );
  }

  private concurrencyOf(kind: 'engine' | 'service'): number {
    return kind === 'engine' ? this.options.engineConcurrency : this.options.serviceConcurrency;
  }
}
