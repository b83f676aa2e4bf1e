/**
 * The backends of the current configuration, and the state of those that this gateway uses. State is
 * kept only for candidates of this gateway, not for all backends of a large fleet.
 */
import { type BackendIntent, type IntentDocument, findItem } from '../intents/index.js';
import { Backend } from './backend.js';
import { type SubsetOwner, chooseSubset } from './engine-subset.js';

export interface BackendTableOptions {
  engineConcurrency: number;
  serviceConcurrency: number;
  /** Maximum number of engines per model that this gateway uses. */
  engineSubset: number;
  owner: SubsetOwner;
}

export class BackendTable {
  /** State of the backends in use, by id. */
  private readonly backends = new Map<string, Backend>();
  private subsets = new Map<string, Backend[]>();
  private watched: readonly Backend[] = [];
  private services: Backend[] = [];
  private intents: readonly BackendIntent[] = [];
  private leaving: ReadonlySet<string> = new Set();

  constructor(private readonly options: BackendTableOptions) {}

  /** Applies a new configuration; the state of backends with an unchanged address is kept. */
  update(document: IntentDocument): void {
    if (document.backends === this.intents) return;
    this.intents = document.backends;
    for (const [id, backend] of this.backends) {
      const intent = findItem(this.intents, id);
      if (intent?.address === backend.intent.address) backend.intent = intent;
      else this.backends.delete(id);
    }
    this.chooseSubsets();
    const services = this.intents.filter(({ kind }) => kind === 'service');
    this.services = services.map((intent) => this.backendFor(intent));
  }

  /** Updates the list of machines that the platform reports as leaving. */
  markLeaving(machines: readonly string[]): void {
    if (machines.length === 0 && this.leaving.size === 0) return;
    this.leaving = new Set(machines);
    for (const backend of this.backends.values()) backend.isLeaving = this.leaving.has(backend.id);
  }

  find(id: string): Backend | undefined {
    const intent = findItem(this.intents, id);
    return intent && this.backendFor(intent);
  }

  /** @param previous the engine that served the program before; included even if outside the subset */
  enginesFor(model: string, previous?: string): Backend[] {
    const subset = this.subsets.get(model) ?? [];
    const previousEngine = previous === undefined ? undefined : this.find(previous);
    const isExtra =
      previousEngine?.intent.models.includes(model) && !subset.includes(previousEngine);
    return isExtra ? [...subset, previousEngine!] : subset;
  }

  servicesFor(service: string): Backend[] {
    return this.services.filter(({ intent }) => intent.services.includes(service));
  }

  /** Engines whose load this gateway monitors. */
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
        chosen.map((intent) => this.backendFor(intent)),
      );
    }
    this.watched = [...new Set([...this.subsets.values()].flat())];
  }

  private backendFor(intent: BackendIntent): Backend {
    let backend = this.backends.get(intent.id);
    if (!backend) {
      const { engineConcurrency, serviceConcurrency } = this.options;
      const isEngine = intent.kind === 'engine';
      backend = new Backend(intent, isEngine ? engineConcurrency : serviceConcurrency);
      backend.isLeaving = this.leaving.has(intent.id);
      this.backends.set(intent.id, backend);
    }
    return backend;
  }
}
