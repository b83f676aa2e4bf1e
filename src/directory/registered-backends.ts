/**
 * Registered backends with indexes by id, name and address. Each registration looks a backend up by backends three,
 * which must not take time proportional to the number of backends.
 */
import type { BackendRegistration } from './backend-registration.js';

export class RegisteredBackends {
  private readonly backends = new Map<string, BackendRegistration>();
  private readonly byName = new Map<string, Set<string>>();
  private readonly byAddress = new Map<string, Set<string>>();

  constructor(backends: Iterable<BackendRegistration> = []) {
    for (const backend of backends) this.set(backend);
  }

  /** In order of first registration. */
  get byId(): ReadonlyMap<string, BackendRegistration> {
    return this.backends;
  }

  get(id: string): BackendRegistration | undefined {
    return this.backends.get(id);
  }

  /** Adds a backend, or replaces the one registered under its id. */
  set(backend: BackendRegistration): void {
    const previous = this.backends.get(backend.id);
    if (previous) this.removeFromIndexes(previous);
    this.backends.set(backend.id, backend);
    addTo(this.byName, backend.name, backend.id);
    addTo(this.byAddress, backend.address, backend.id);
  }

  /** @returns whether it was registered */
  delete(id: string): boolean {
    const previous = this.backends.get(id);
    if (!previous) return false;
    this.removeFromIndexes(previous);
    return this.backends.delete(id);
  }

  /** All incarnations of a backend, ordered by id. */
  named(name: string): BackendRegistration[] {
    return this.listOf(this.byName.get(name));
  }

  /** Backends with a name or an address, ordered by id so that backends replicas process them in the same order. */
  havingNameOrAddress(name: string, address: string): BackendRegistration[] {
    const ids = new Set([...(this.byName.get(name) ?? []), ...(this.byAddress.get(address) ?? [])]);
    return this.listOf(ids);
  }

  private listOf(ids: ReadonlySet<string> | undefined): BackendRegistration[] {
    return [...(ids ?? [])].sort().map((id) => this.backends.get(id)!);
  }

  private removeFromIndexes({ id, name, address }: BackendRegistration): void {
    removeFrom(this.byName, name, id);
    removeFrom(this.byAddress, address, id);
  }
}

function addTo(index: Map<string, Set<string>>, key: string, id: string): void {
  const ids = index.get(key);
  if (ids) ids.add(id);
  else index.set(key, new Set([id]));
}

function removeFrom(index: Map<string, Set<string>>, key: string, id: string): void {
  const ids = index.get(key);
  ids?.delete(id);
  if (ids?.size === 0) index.delete(key);
}
