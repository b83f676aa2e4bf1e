/**
 * Has garbage collected before it fills the process. V8 doesn't know the memory limit of the process, and collects buffers
 * outside the heap late, so that fast peers leave many times what is held of them.
 */
import { createGarbageCollector } from './garbage-collector.js';
import type { MemoryBudget } from './memory-budget.js';

/** Received bytes between two checks; small requests and chunks leave many times their size. */
const CHECK_INTERVAL_BYTES = 256 * 1024;
/** Part of the process's memory limit below which the resident memory is no reason to collect. */
const NEAR_LIMIT_FRACTION = 0.6;
/** Part of the process's memory limit that may be allocated, beside what is held, before garbage is collected. */
const GARBAGE_FRACTION = 0.08;

/** Memory of the process, in bytes. */
export interface AllocatedMemory {
  /** Resident memory. */
  rss: number;
  /** Objects of the heap. */
  heapUsed: number;
  /** Buffers outside the heap. */
  external: number;
}

export interface GcTriggerOptions {
  memoryLimitBytes: number;
  budget: MemoryBudget;
  /** @default as Node tells it */
  readMemory?: () => AllocatedMemory;
  /** Collects all garbage. @default V8's collection */
  collect?: () => void;
}

export class GcTrigger {
  private options: GcTriggerOptions | undefined;
  private uncheckedBytes = 0;
  /** Lowest size of what was allocated beside what is held, in bytes. */
  private floorBytes = Infinity;
  private collectionCount = 0;
  private collectGarbage: (() => void) | undefined;

  /** Number of collections so far. */
  get collections(): number {
    return this.collectionCount;
  }

  /** Without a configuration nothing is collected. */
  configure(options: GcTriggerOptions): void {
    this.options = options;
  }

  /** Must be called for all bytes that sockets receive. */
  noteReceived(bytes: number): void {
    this.uncheckedBytes += bytes;
    if (this.uncheckedBytes < CHECK_INTERVAL_BYTES) return;
    this.uncheckedBytes = 0;
    if (this.options) this.check(this.options);
  }

  private check(options: GcTriggerOptions): void {
    const { memoryLimitBytes } = options;
    const memory = (options.readMemory ?? process.memoryUsage)();
    const unheldBytes = unheldBytesOf(memory, options);
    this.floorBytes = Math.min(this.floorBytes, unheldBytes);
    const garbageBytes = unheldBytes - this.floorBytes;
    if (memory.rss < memoryLimitBytes * NEAR_LIMIT_FRACTION) return;
    if (garbageBytes >= memoryLimitBytes * GARBAGE_FRACTION) this.collect(options);
  }

  private collect(options: GcTriggerOptions): void {
    this.collectGarbage ??= options.collect ?? createGarbageCollector();
    this.collectGarbage();
    this.collectionCount += 1;
    this.floorBytes = unheldBytesOf((options.readMemory ?? process.memoryUsage)(), options);
  }
}

/** What is allocated beside what is held, in bytes. */
function unheldBytesOf(memory: AllocatedMemory, { budget }: GcTriggerOptions): number {
  return memory.heapUsed + memory.external - budget.heldBytes;
}

/** The trigger of this process. */
export const processGcTrigger = new GcTrigger();
