/** Records of the write-ahead log, which is shared by all replicated groups of a process. */
import { decodeValue, encodeValue } from '../wire/frame-codec.js';

/** An entry of a group's replicated log. */
export interface LogEntry {
  index: number;
  term: number;
  /**
   * `command`: input of the state machine; `configuration`: members; `empty`: first entry of a
   * term.
   */
  kind: 'command' | 'configuration' | 'empty';
  data: Uint8Array;
  /**
   * Data written to the local disk in one record with the entry. It is neither replicated with the
   * entry nor kept in memory: present only until the entry is written, and after recovery until it
   * is taken.
   */
  attachments?: readonly Uint8Array[];
  /** Size of the attachments on disk, in bytes. @default 0 */
  attachedBytes?: number;
}

/** Raft state that must survive restarts. */
export interface HardState {
  term: number;
  votedFor: string | undefined;
  /**
   * Entries up to this index are committed, whether or not this member's log holds them.
   * @default 0
   */
  commitIndex?: number;
}

/** Position of a snapshot that replaces a group's log up to and including `index`. */
export interface SnapshotMark {
  index: number;
  term: number;
}

export type LogRecord =
  | { kind: 'entries'; group: string; entries: LogEntry[] }
  | { kind: 'hard-state'; group: string; state: HardState }
  | { kind: 'truncate'; group: string; fromIndex: number }
  | { kind: 'snapshot'; group: string; mark: SnapshotMark }
  | { kind: 'sync-marker' };

const EMPTY = new Uint8Array(0);
const ENTRY_KINDS: readonly LogEntry['kind'][] = ['command', 'configuration', 'empty'];

type StoredEntry = [
  index: number,
  term: number,
  kind: number,
  data: Uint8Array,
  attachments?: readonly Uint8Array[],
];

/** Compact on-disk format; the order of the fields is fixed. */
type Stored =
  | ['E', string, StoredEntry[]]
  | ['H', string, number, string | null, number?]
  | ['T', string, number]
  | ['S', string, number, number]
  | ['M'];

export function encodeLogRecord(record: LogRecord): Buffer {
  return encodeValue(toStored(record));
}

function toStoredEntry({ index, term, kind, data, attachments }: LogEntry): StoredEntry {
  const stored: StoredEntry = [index, term, ENTRY_KINDS.indexOf(kind), data];
  if (attachments && attachments.length > 0) stored.push(attachments);
  return stored;
}

function fromStoredEntry([index, term, kind, data, attachments]: StoredEntry): LogEntry {
  const entry: LogEntry = {
    index,
    term,
    kind: ENTRY_KINDS[kind] ?? 'empty',
    data: data.length === 0 ? EMPTY : Buffer.from(data),
  };
  if (!attachments) return entry;
  const attachedBytes = attachments.reduce((sum, { length }) => sum + length, 0);
  return { ...entry, attachments, attachedBytes };
}

function toStoredHardState(group: string, { term, votedFor, commitIndex }: HardState): Stored {
  if (commitIndex === undefined) return ['H', group, term, votedFor ?? null];
  return ['H', group, term, votedFor ?? null, commitIndex];
}

function toStored(record: LogRecord): Stored {
  switch (record.kind) {
    case 'entries':
      return ['E', record.group, record.entries.map(toStoredEntry)];
    case 'hard-state':
      return toStoredHardState(record.group, record.state);
    case 'truncate':
      return ['T', record.group, record.fromIndex];
    case 'snapshot':
      return ['S', record.group, record.mark.index, record.mark.term];
    case 'sync-marker':
      return ['M'];
  }
}

export function decodeLogRecord(body: Buffer): LogRecord {
  const stored = decodeValue<Stored>(body);
  switch (stored[0]) {
    case 'E':
      return {
        kind: 'entries',
        group: stored[1],
        entries: stored[2].map(fromStoredEntry),
      };
    case 'H':
      return {
        kind: 'hard-state',
        group: stored[1],
        state: { term: stored[2], votedFor: stored[3] ?? undefined, commitIndex: stored[4] },
      };
    case 'T':
      return { kind: 'truncate', group: stored[1], fromIndex: stored[2] };
    case 'S':
      return { kind: 'snapshot', group: stored[1], mark: { index: stored[2], term: stored[3] } };
    case 'M':
      return { kind: 'sync-marker' };
  }
}
