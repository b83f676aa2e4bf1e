/**
 * Binds a stream to the software version that began it. What backends of two versions generate does not fit together, and
 * they do not check it: once a caller has an event, the rest must come from a backend of the same version.
 */
import type { BackendState } from './backend-view.js';

/** Backends with equal keys can continue each other's streams. */
export type VersionKey = string;

/** A backend that reports no version can continue only its own streams. */
export function versionKeyOf({
  id,
  softwareVersion,
}: Pick<BackendState, 'id' | 'softwareVersion'>): VersionKey {
  return softwareVersion === undefined ? `backend ${id}` : `version ${softwareVersion}`;
}

export class StreamVersion {
  private key: VersionKey | undefined;

  /** Whether a call may be sent to a backend. */
  accepts(backend: BackendState): boolean {
    return this.key === undefined || versionKeyOf(backend) === this.key;
  }

  /** Binds the stream to a backend's version, unless it is bound already. */
  bind(backend: BackendState): void {
    this.key ??= versionKeyOf(backend);
  }
}
