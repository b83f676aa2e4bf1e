/** How a journal process divides its memory and its disk. */

const MIB = 1024 * 1024;

/** What a journal may take, in bytes. */
export interface JournalBudget {
  /** Log entries in memory, beyond which a leader takes no more. */
  heldEntries: number;
  /** Values of kept turns that wait to be written. */
  pendingValues: number;
  /** Values of kept turns that are kept after they were written or read. */
  cachedValues: number;
  /** Heap and buffers together, beyond which no reservation is taken. @default no limit */
  total: number | undefined;
  /** Segments of the log on disk. @default no limit */
  logOnDisk: number | undefined;
  /** Segments of kept turns on disk. @default no limit */
  valuesOnDisk: number | undefined;
}

/** Shares of the machine's memory, and what is enough on a large one. */
const HELD_ENTRIES = { share: 0.1, most: 32 * MIB };
const PENDING_VALUES = { share: 0.02, most: 4 * MIB };
const CACHED_VALUES = { share: 0.04, most: 8 * MIB };
/**
 * What heap and buffers may take of the memory limit. The rest is the program itself: 45 MB of an
 * empty Node process, a fifth of the smallest limit that was met (178 to 220 MB), and room to clean.
 */
const TOTAL_SHARE = 0.6;
/**
 * Snapshots, of which two stand side by side while one replaces the other, get what is left of the
 * disk. The log needs a few segments only; kept turns grow with what is said.
 */
const LOG_DISK_SHARE = 0.3;
const VALUES_DISK_SHARE = 0.55;

/** @param memoryBytes,diskBytes what the process may use; undefined without a limit */
export function journalBudget(
  memoryBytes: number | undefined,
  diskBytes: number | undefined,
): JournalBudget {
  const part = ({ share, most }: { share: number; most: number }): number =>
    memoryBytes === undefined ? most : Math.min(most, Math.round(memoryBytes * share));
  const of = (bytes: number | undefined, share: number): number | undefined =>
    bytes === undefined ? undefined : Math.round(bytes * share);
  return {
    heldEntries: part(HELD_ENTRIES),
    pendingValues: part(PENDING_VALUES),
    cachedValues: part(CACHED_VALUES),
    total: of(memoryBytes, TOTAL_SHARE),
    logOnDisk: of(diskBytes, LOG_DISK_SHARE),
    valuesOnDisk: of(diskBytes, VALUES_DISK_SHARE),
  };
}
