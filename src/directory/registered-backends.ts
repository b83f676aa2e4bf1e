/**
 * Back ends by id, by name and by address. A fleet that registers at once looks each of its back ends up by all
 * three on every member: a search through all of them each time would take the square of their number.
 */
import type { BackendRegistration } from './backend-registration.js';

export class RegisteredBackends {
  private readonly all = new Map<string, BackendRegistration>();
  private readonly byName = new Map<string, Set<string>>();
  private readonly byAddress = new Map<string, Set<string>>();

  constructor(backends: Iterable<BackendRegistration> = []) {
    for (const backend of backends) this.set(backend);
  }

  /** In the order in which they were registered first. */
  get byId(): ReadonlyMap<string, BackendRegistration> {
    return this.all;
  }

  get(id: string): BackendRegistration | undefined {
    return this.all.get(id);
  }

  /** Takes the place of what was registered under the id. */
  set(backend: BackendRegistration): void {
    const before = this.all.get(backend.id);
    if (before) this.removeFromIndexes(before);
    this.all.set(backend.id, backend);
    addTo(this.byName, backend.name, backend.id);
    addTo(this.byAddress, backend.address, backend.id);
  }

  /** @returns whether it was registered */
  delete(id: string): boolean {
    const before = this.all.get(id);
    if (!before) return false;
    this.removeFromIndexes(before);
    return this.all.delete(id);
  }

  /** All starts of a back end, by id. */
  named(name: string): BackendRegistration[] {
    return this.listOf(this.byName.get(name));
  }

  /** Those that have a name or an address, by id: every replica comes to the same order. */
  havingNameOrAddress(name: string, address: string): BackendRegistration[] {
    const ids = new Set([...(this.byName.get(name) ?? []), ...(this.byAddress.get(address) ?? [])]);
    return this.listOf(ids);
  }

  private listOf(ids: ReadonlySet<string> | undefined): BackendRegistration[] {
    return [...(ids ?? [])].sort().map((id) => this.all.get(id)!);
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
