/**
 * The back ends that the current configuration names, and those of them that this gateway uses. What
 * a gateway knows of a back end is kept only for those that it considers, not for all of a large fleet.
 */
import { type BackendIntent, type IntentDocument, findItem } from '../intents/index.js';
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
  /** Back ends that were considered since they are in the configuration. */
  private readonly used = new Map<string, Backend>();
  private subsets = new Map<string, Backend[]>();
  private watched: readonly Backend[] = [];
  private services: Backend[] = [];
  private intents: readonly BackendIntent[] = [];
  private leaving: ReadonlySet<string> = new Set();

  constructor(private readonly options: BackendTableOptions) {}

  /** Takes over a new configuration; what is known of unchanged back ends stays. */
  update(document: IntentDocument): void {
    if (document.backends === this.intents) return;
    this.intents = document.backends;
    for (const [id, backend] of this.used) {
      const intent = findItem(this.intents, id);
      if (intent?.address === backend.intent.address) backend.intent = intent;
      else this.used.delete(id);
    }
    this.chooseSubsets();
    const services = this.intents.filter(({ kind }) => kind === 'service');
    this.services = services.map((intent) => this.use(intent));
  }

  /** Takes over which machines the platform calls leaving. */
  markLeaving(machines: readonly string[]): void {
    if (machines.length === 0 && this.leaving.size === 0) return;
    this.leaving = new Set(machines);
    for (const backend of this.used.values()) backend.isLeaving = this.leaving.has(backend.id);
  }

  find(id: string): Backend | undefined {
    const intent = findItem(this.intents, id);
    return intent && this.use(intent);
  }

  /** @param previous the engine that served the program before; considered wherever it is */
  enginesFor(model: string, previous?: string): Backend[] {
    const subset = this.subsets.get(model) ?? [];
    const earlier = previous === undefined ? undefined : this.find(previous);
    const isExtra = earlier?.intent.models.includes(model) && !subset.includes(earlier);
    return isExtra ? [...subset, earlier!] : subset;
  }

  servicesFor(service: string): Backend[] {
    return this.services.filter(({ intent }) => intent.services.includes(service));
  }

  /** Engines whose load this gateway follows. */
  get watchedEngines(): readonly Backend[] {
    return this.watched;
  }

  private chooseSubsets(): void {
    const byModel = new Map<string, BackendIntent[]>();
    for (const intent of this.intents) {
      if (intent.kind !== 'engine') continue;
      for (const model of intent.models) {
        const engines = byModel.get(model);
        if (engines) engines.push(intent);
        else byModel.set(model, [intent]);
      }
    }
    const { owner, engineSubset } = this.options;
    this.subsets = new Map();
    for (const [model, engines] of byModel) {
      const chosen = chooseSubset(engines, owner, engineSubset);
      this.subsets.set(
        model,
        chosen.map((intent) => this.use(intent)),
      );
    }
    this.watched = [...new Set([...this.subsets.values()].flat())];
  }

  private use(intent: BackendIntent): Backend {
    let backend = this.used.get(intent.id);
    if (!backend) {
      const { engineConcurrency, serviceConcurrency } = this.options;
      const isEngine = intent.kind === 'engine';
      backend = new Backend(intent, isEngine ? engineConcurrency : serviceConcurrency);
      backend.isLeaving = this.leaving.has(intent.id);
      this.used.set(intent.id, backend);
    }
    return backend;
  }
}
