/** Software versions of the backends of a service. */

/** A backend, as far as its software version is concerned. */
export interface BackendVersion {
  id: string;
  /** Undefined if it reports none; it then shares its version with no other backend. */
  softwareVersion?: string | undefined;
}

/** Versions of some services within a time. */
export interface ServiceVersions {
  /** One backend of each version. */
  versions: BackendVersion[];
  /** Whether they are all. */
  isComplete: boolean;
}

/**
 * Backends with equal keys can continue each other's streams. A backend that reports no version can continue only its
 * own streams.
 */
export function versionKeyOf({ id, softwareVersion }: BackendVersion): string {
  return softwareVersion === undefined ? `backend ${id}` : `version ${softwareVersion}`;
}

/** @returns one backend of each version */
export function distinctVersions(backends: Iterable<BackendVersion>): BackendVersion[] {
  const versions = new Map<string, BackendVersion>();
  for (const { id, softwareVersion } of backends) {
    const backend = softwareVersion === undefined ? { id } : { id, softwareVersion };
    versions.set(versionKeyOf(backend), backend);
  }
  return [...versions.values()];
}
