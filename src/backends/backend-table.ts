/** The back ends that the current configuration names. */
import type { IntentDocument } from '../intents/index.js';
import { Backend } from './backend.js';

export interface BackendTableOptions {
  engineConcurrency: number;
  serviceConcurrency: number;
}

export class BackendTable {
  private readonly backends = new Map<string, Backend>();

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
  }

  find(id: string): Backend | undefined {
    return this.backends.get(id);
  }

  enginesFor(model: string): Backend[] {
    return [...this.backends.values()].filter(
      ({ intent }) => intent.kind === 'engine' && intent.models.includes(model),
    );
  }

  servicesFor(service: string): Backend[] {
    return [...this.backends.values()].filter(
      ({ intent }) => intent.kind === 'service' && intent.services.includes(service),
    );
  }

  all(): Backend[] {
    return [...this.backends.values()];
  }

  private concurrencyOf(kind: 'engine' | 'service'): number {
    return kind === 'engine' ? this.options.engineConcurrency : this.options.serviceConcurrency;
  }
}
