/**
 * Software versions of the backends that were registered lately, by service. Not replicated: each member notes what it
 * removes, and knows nothing of what was removed before the snapshot that it started from.
 */
import { monotonicMs } from '../common/index.js';
import type { BackendRegistration } from './backend-registration.js';
import {
  type BackendVersion,
  type ServiceVersions,
  distinctVersions,
  versionKeyOf,
} from './service-versions.js';

interface RemovedVersion extends BackendVersion {
  service: string;
  removedAt: number;
}

/** Maximum number of removed versions; the oldest are forgotten. */
const MAX_REMOVED = 1_000;

export class RecentVersions {
  /** By service and version, in order of removal. */
  private readonly removed = new Map<string, RemovedVersion>();
  /** All removals since this time are known (monotonic, milliseconds). */
  private knownSince = Number.NEGATIVE_INFINITY;

  constructor(private readonly nowMs: () => number = monotonicMs) {}

  /** Must be called when a backend, or its version, is not registered any more. */
  noteRemoved({ id, service, softwareVersion }: BackendRegistration): void {
    const key = JSON.stringify([service, versionKeyOf({ id, softwareVersion })]);
    this.removed.delete(key);
    this.removed.set(key, { id, service, softwareVersion, removedAt: this.nowMs() });
    if (this.removed.size > MAX_REMOVED) this.forgetOldest();
  }

  /** Must be called when the registered backends are replaced by those of a snapshot. */
  reset(): void {
    this.knownSince = this.nowMs();
  }

  /**
   * @param registered backends of all services
   * @param withinMs time within which a version counts that is not registered any more, in milliseconds
   */
  of(
    services: readonly string[],
    registered: Iterable<BackendRegistration>,
    withinMs: number,
  ): ServiceVersions {
    const since = this.nowMs() - withinMs;
    const removed = [...this.removed.values()].filter(({ removedAt }) => removedAt >= since);
    const backends = [...removed, ...registered].filter(({ service }) =>
      services.includes(service),
    );
    return { versions: distinctVersions(backends), isComplete: this.knownSince < since };
  }

  private forgetOldest(): void {
    const [key, { removedAt }] = this.removed.entries().next().value!;
    this.removed.delete(key);
    this.knownSince = Math.max(this.knownSince, removedAt);
  }
}
