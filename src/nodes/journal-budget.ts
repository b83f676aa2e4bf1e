/** Division of a journal process's memory and disk. */

const MIB = 1024 * 1024;

/** Limits of a journal process, in bytes. */
export interface JournalBudget {
  /** Log entries in memory; a leader rejects further proposals above this size. */
  heldEntries: number;
  /** Values of kept turns that are not written yet. */
  pendingValues: number;
  /** Cache of values of kept turns that were written or read. */
  cachedValues: number;
  /** Heap and buffers together; reservations are rejected above this size. @default no limit */
  total: number | undefined;
  /** Log segments on disk. @default no limit */
  logOnDisk: number | undefined;
  /** Segments of the value store on disk. @default no limit */
  valuesOnDisk: number | undefined;
}

/** Shares of the memory limit, each with an upper bound. */
const HELD_ENTRIES = { share: 0.1, maxBytes: 32 * MIB };
const PENDING_VALUES = { share: 0.02, maxBytes: 4 * MIB };
const CACHED_VALUES = { share: 0.04, maxBytes: 8 * MIB };
/**
 * Share of the memory limit for heap and buffers. The rest is left for the Node.js runtime (45 MB, about a fifth of the
 * smallest limits of 178 to 220 MB) and for garbage collection.
 */
const TOTAL_SHARE = 0.6;
/**
 * Shares of the disk. The log needs a few segments only, while values grow with the content of the kept turns. The rest
 * is left for snapshots, of which two exist while one replaces the other.
 */
const LOG_DISK_SHARE = 0.3;
const VALUES_DISK_SHARE = 0.55;

/** @param memoryBytes,diskBytes available to the process; undefined without a limit */
export function journalBudget(
  memoryBytes: number | undefined,
  diskBytes: number | undefined,
): JournalBudget {
  const cappedShareOf = ({ share, maxBytes }: { share: number; maxBytes: number }): number =>
    memoryBytes === undefined ? maxBytes : Math.min(maxBytes, Math.round(memoryBytes * share));
  const shareOf = (bytes: number | undefined, share: number): number | undefined =>
    bytes === undefined ? undefined : Math.round(bytes * share);
  return {
    heldEntries: cappedShareOf(HELD_ENTRIES),
    pendingValues: cappedShareOf(PENDING_VALUES),
    cachedValues: cappedShareOf(CACHED_VALUES),
    total: shareOf(memoryBytes, TOTAL_SHARE),
    logOnDisk: shareOf(diskBytes, LOG_DISK_SHARE),
    valuesOnDisk: shareOf(diskBytes, VALUES_DISK_SHARE),
  };
}
