/**
 * Budget of the bytes that a process holds for peers outside: callers, and back ends whose answers are incomplete. Holders
 * account for the bytes of one connection, request or answer; when the budget is exhausted, the largest holder is ended.
 */
import { describeError } from '../common/index.js';
import type { LogFields, Logger } from '../observability/index.js';

/** Part of the process's memory that may be buffered; the rest is for code, connections and garbage. */
const BUDGET_FRACTION = 0.3;
/** Bytes of running requests up to which a further one may begin, as a part of the budget. */
const RUNNING_FRACTION = 0.5;
/** Number of holders that the budget must have room for at their fair share. */
const FAIR_SHARES = 16;
/** Maximum fair share. Larger answers are rare, and their callers must read them continuously. */
const MAX_FAIR_SHARE_BYTES = 1024 * 1024;

/** Part of the budget above which its state is logged. */
const NEARLY_EXHAUSTED_FRACTION = 0.8;
/** Part of the budget below which the next rise is logged again. */
const ROOM_AGAIN_FRACTION = 0.5;
/** Number of peers that a log line names. */
const LOGGED_PEERS = 4;

export const HOLDER_KINDS = [
  /** A connection's bytes that are not yet a whole request head, and those that wait to be parsed. */
  'connection',
  /** A body that is being received. */
  'request-body',
  /** The body of a request that is carried out. It may have run, so it is never ended. */
  'running-request',
  /** A call that waits for a back end. */
  'waiting-call',
  /** An answer that its caller has not read, and what is kept of it besides. */
  'answer',
  /** The body of an answer to a request of this process's own. */
  'document',
] as const;
export type HolderKind = (typeof HOLDER_KINDS)[number];

export interface HolderOptions {
  kind: HolderKind;
  /** Id of the call, for the log. */
  callId?: string;
  /** The peer that sends the bytes, for the log. */
  peer?: () => string | undefined;
  /**
   * Ends the holder and frees its memory. Called at most once, when the budget is exhausted and this holder is the
   * largest; its bytes are not counted any more. Absent if the holder can't be ended.
   */
  end?: () => void;
}

export interface MemoryBudgetOptions {
  /** Memory limit of the process. @default no limit */
  memoryLimitBytes?: number;
  logger: Logger;
  observer?: MemoryBudgetObserver;
}

/** Is told what the budget does, for metrics. */
export interface MemoryBudgetObserver {
  /** A holder was ended because the budget was exhausted. */
  noteEnded(kind: HolderKind): void;
  /** An answer has used up its fair share for the first time. */
  noteAnswerPaused(): void;
  /** An answer is complete before its caller has read it. */
  noteAnswerCompletedEarly(): void;
}

/** What is held of one peer. */
interface PeerBytes {
  peer: string;
  bytes: number;
  holders: number;
}

/** The bytes that one connection, request or answer holds. */
export class MemoryHolder {
  private currentBytes = 0;

  constructor(
    private currentOptions: HolderOptions,
    private readonly budget: MemoryBudget,
  ) {}

  get options(): HolderOptions {
    return this.currentOptions;
  }

  get bytes(): number {
    return this.currentBytes;
  }

  /** Sets the number of held bytes; may end this holder or others. No effect after `release` or the end. */
  resize(bytes: number): void {
    if (bytes === this.currentBytes || !this.budget.includes(this)) return;
    const added = bytes - this.currentBytes;
    this.currentBytes = bytes;
    this.budget.add(this.options.kind, added);
    if (added > 0) this.budget.enforceLimit();
  }

  /** Counts the bytes as those of another kind, with another end. No effect after `release` or the end. */
  changeTo(options: HolderOptions): void {
    if (!this.budget.includes(this)) return;
    this.budget.add(this.options.kind, -this.currentBytes);
    this.currentOptions = options;
    this.budget.add(options.kind, this.currentBytes);
    this.budget.enforceLimit();
  }

  /** Gives the bytes back. */
  release(): void {
    if (!this.budget.remove(this)) return;
    const added = -this.currentBytes;
    this.currentBytes = 0;
    this.budget.add(this.options.kind, added);
  }
}

export class MemoryBudget {
  /** Maximum number of bytes; infinite if the process has no memory limit. */
  readonly limitBytes: number;
  /** Number of bytes up to which an answer is buffered for a slow caller. */
  readonly fairShareBytes: number;
  private readonly holders = new Set<MemoryHolder>();
  private readonly bytesByKind = Object.fromEntries(
    HOLDER_KINDS.map((kind) => [kind, 0]),
  ) as Record<HolderKind, number>;
  private totalBytes = 0;
  private isNearlyExhausted = false;

  constructor(private readonly options: MemoryBudgetOptions) {
    const { memoryLimitBytes = Infinity } = options;
    this.limitBytes = Math.floor(memoryLimitBytes * BUDGET_FRACTION);
    this.fairShareBytes = Math.min(MAX_FAIR_SHARE_BYTES, Math.floor(this.limitBytes / FAIR_SHARES));
  }

  get observer(): MemoryBudgetObserver | undefined {
    return this.options.observer;
  }

  get heldBytes(): number {
    return this.totalBytes;
  }

  get holderCount(): number {
    return this.holders.size;
  }

  heldBytesOf(kind: HolderKind): number {
    return this.bytesByKind[kind];
  }

  /** Whether a request of so many bytes may begin beside those that run. One that runs alone always may. */
  hasRoomToRun(bytes: number): boolean {
    const runningBytes = this.bytesByKind['running-request'];
    return runningBytes === 0 || runningBytes + bytes <= this.runningLimitBytes;
  }

  /** Registers a holder of 0 bytes, which must be released when its call has ended. */
  hold(options: HolderOptions): MemoryHolder {
    const holder = new MemoryHolder(options, this);
    this.holders.add(holder);
    return holder;
  }

  /** Whether the holder has neither been released nor ended. Internal to `MemoryHolder`. */
  includes(holder: MemoryHolder): boolean {
    return this.holders.has(holder);
  }

  /** Internal to `MemoryHolder`. */
  add(kind: HolderKind, bytes: number): void {
    this.bytesByKind[kind] += bytes;
    this.totalBytes += bytes;
    if (this.totalBytes < this.limitBytes * ROOM_AGAIN_FRACTION) this.isNearlyExhausted = false;
  }

  /** Ends the largest holders while the budget is exceeded. Internal to `MemoryHolder`. */
  enforceLimit(): void {
    if (this.totalBytes > this.allowedBytes * NEARLY_EXHAUSTED_FRACTION) this.noteNearlyExhausted();
    while (this.totalBytes > this.allowedBytes) {
      const largest = this.findLargest();
      if (!largest) return;
      this.end(largest);
    }
  }

  private get runningLimitBytes(): number {
    return this.limitBytes * RUNNING_FRACTION;
  }

  /** Running requests can't give way, so they take no room from holders that can until they use as much as those. */
  private get allowedBytes(): number {
    return this.limitBytes + Math.min(this.bytesByKind['running-request'], this.limitBytes);
  }

  /** @returns whether the holder was registered. Internal to `MemoryHolder`. */
  remove(holder: MemoryHolder): boolean {
    return this.holders.delete(holder);
  }

  /** The scan is linear, but it happens once for each ended call. */
  private findLargest(): MemoryHolder | undefined {
    let largest: MemoryHolder | undefined;
    for (const holder of this.holders) {
      if (holder.options.end && holder.bytes > (largest?.bytes ?? 0)) largest = holder;
    }
    return largest;
  }

  /** Who held the memory must be in the log before a process without memory ends. */
  private noteNearlyExhausted(): void {
    if (this.isNearlyExhausted) return;
    this.isNearlyExhausted = true;
    this.options.logger.warn('memory budget nearly exhausted', this.describe());
  }

  /** What is held, by kind and by the peers that hold the most, beside the memory of the process. */
  describe(): LogFields {
    const { rss, heapUsed, external, arrayBuffers } = process.memoryUsage();
    return {
      heldBytes: this.totalBytes,
      limitBytes: this.limitBytes,
      holders: this.holders.size,
      byKind: JSON.stringify(this.bytesByKind),
      largest: JSON.stringify(this.largestPeers()),
      rss,
      heapUsed,
      external,
      arrayBuffers,
    };
  }

  private largestPeers(): PeerBytes[] {
    const byPeer = new Map<string, PeerBytes>();
    for (const holder of this.holders) {
      const peer = holder.options.peer?.() ?? 'unknown';
      const sum = byPeer.get(peer) ?? { peer, bytes: 0, holders: 0 };
      sum.bytes += holder.bytes;
      sum.holders += 1;
      byPeer.set(peer, sum);
    }
    const sums = [...byPeer.values()].sort((left, right) => right.bytes - left.bytes);
    return sums.slice(0, LOGGED_PEERS);
  }

  private end(holder: MemoryHolder): void {
    const { kind, callId: call, peer, end } = holder.options;
    const { logger, observer } = this.options;
    const fields: LogFields = {
      effect: 'largest holder ended',
      kind,
      call,
      peer: peer?.(),
      bytes: holder.bytes,
      heldBytes: this.totalBytes,
      limitBytes: this.limitBytes,
      holders: this.holders.size,
    };
    holder.release();
    logger.warn('memory budget exhausted', fields);
    observer?.noteEnded(kind);
    try {
      end?.();
    } catch (error) {
      logger.error('memory holder not ended', { kind, call, description: describeError(error) });
    }
  }
}
