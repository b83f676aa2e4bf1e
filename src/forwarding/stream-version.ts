/**
 * Binds a stream to the software version that began it. What backends of two versions generate does not fit together, and
 * they do not check it: once a caller has an event, the rest must come from a backend of the same version.
 */
import { type BackendVersion, versionKeyOf } from '../directory/index.js';
import type { VersionKey } from '../ledger/index.js';

/** The version as operators see it, in logs and metrics. */
export function versionLabelOf(softwareVersion: string | undefined): string {
  return softwareVersion ?? 'unknown';
}

export interface StreamVersionOptions {
  /** The only version at which the stream may run, if it is known before the call is sent. */
  key?: VersionKey;
  /** Whether an earlier attempt of the caller began the stream. @default false */
  isResumed?: boolean;
  /** Whether later attempts of the caller will find this version. @default false */
  isRecorded?: boolean;
  /** Has the version recorded in the background. @default it is not recorded */
  recordLater?: (version: VersionKey) => void;
  /** Resolves once this version replaces the recorded one. @default it cannot be replaced */
  recordChange?: (version: VersionKey) => Promise<void>;
}

/** The version of the stream of one call. */
export class StreamVersion {
  private key: VersionKey | undefined;
  private isRecorded: boolean;
  private hasBegun: boolean;
  private hasChanged = false;

  constructor(private readonly options: StreamVersionOptions = {}) {
    this.key = options.key;
    this.isRecorded = options.isRecorded ?? false;
    this.hasBegun = options.isResumed ?? false;
  }

  /** The only version whose backends the call may be sent to; undefined while it may be sent to any. */
  get version(): VersionKey | undefined {
    return this.key;
  }

  /**
   * Whether the stream may begin at another version. Only once: a delayed duplicate of a first change must not replace a
   * second one.
   */
  get canChange(): boolean {
    const isOpen = !this.hasBegun && !this.hasChanged;
    return isOpen && this.key !== undefined && this.options.recordChange !== undefined;
  }

  /** Resolves once later attempts of the caller will find the backend's version. */
  async changeTo(backend: BackendVersion): Promise<void> {
    this.hasChanged = true;
    const key = versionKeyOf(backend);
    await this.options.recordChange?.(key);
    this.key = key;
    this.isRecorded = true;
  }

  /** Must be called when the caller gets the first event, which a backend has sent. */
  noteBegun(backend: BackendVersion): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    this.key ??= versionKeyOf(backend);
    if (!this.isRecorded) this.options.recordLater?.(this.key);
  }
}
