/**
 * Prefix cache of an emulated engine: blocks of tokens, each named by a hash over all that stands
 * before it and itself, evicted least recently used first unless pinned by a running sequence or
 * held for a program.
 */
import { CHARACTERS_PER_TOKEN, hash64Hex } from '../../src/common/index.js';
import { BLOCK_TOKENS } from './engine-options.js';

const BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;

interface Block {
  hash: string;
  /** Sequences that use the block now. */
  users: number;
  /** Program that used the block last. */
  program: string;
  lastUsedMs: number;
}

interface Hold {
  hashes: string[];
  expiresAtMs: number;
}

/** What became of the cached memory so far, in token-milliseconds of model time. */
export interface CacheUsage {
  /** Time in which blocks lay in memory and were used again afterwards. */
  reusedTokenMs: number;
  /** Time in which blocks lay in memory until they were dropped, without another use. */
  unusedTokenMs: number;
}

export interface CacheEvent {
  kind: 'stored' | 'dropped';
  hash: string;
}

/** Names of a prompt's whole blocks; the tenant is part of them, so no tenant sees another's. */
export function blockHashes(tenant: string, model: string, prompt: string): string[] {
  const hashes: string[] = [];
  let previous = hash64Hex(`${tenant}\n${model}`);
  for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
    previous = hash64Hex(previous + prompt.slice(end - BLOCK_CHARACTERS, end));
    hashes.push(previous);
  }
  return hashes;
}

export class PrefixCache {
  /** In order of last use, the oldest first. */
  private readonly blocks = new Map<string, Block>();
  private readonly holds = new Map<string, Hold>();
  private readonly holdCounts = new Map<string, number>();
  /** Blocks that running sequences need beyond the cached ones. */
  private privateBlocks = 0;
  readonly usage: CacheUsage = { reusedTokenMs: 0, unusedTokenMs: 0 };

  constructor(
    private readonly capacityBlocks: number,
    private readonly onEvent: (event: CacheEvent) => void = () => undefined,
  ) {}

  get usedBlocks(): number {
    return this.blocks.size + this.privateBlocks;
  }

  get heldPrograms(): string[] {
    return [...this.holds.keys()];
  }

  /** How many leading blocks are cached. */
  matchLength(hashes: readonly string[]): number {
    let length = 0;
    while (length < hashes.length && this.blocks.has(hashes[length]!)) length += 1;
    return length;
  }

  /** Marks leading blocks as used by a sequence, so that they stay until `release`. */
  pin(hashes: readonly string[], program: string, nowMs: number): void {
    for (const hash of hashes) {
      const block = this.blocks.get(hash)!;
      block.users += 1;
      this.touch(block, program, nowMs);
    }
  }

  unpin(hashes: readonly string[]): void {
    for (const hash of hashes) {
      const block = this.blocks.get(hash);
      if (block) block.users -= 1;
    }
  }

  /** Reserves memory of a running sequence; false when even eviction gives not enough. */
  reservePrivate(count: number, nowMs: number): boolean {
    if (!this.makeRoom(count, nowMs)) return false;
    this.privateBlocks += count;
    return true;
  }

  freePrivate(count: number): void {
    this.privateBlocks -= count;
  }

  /** Adds blocks that were computed or imported; stops where there is no room. */
  store(hashes: readonly string[], program: string, nowMs: number): void {
    for (const hash of hashes) {
      const known = this.blocks.get(hash);
      if (known) {
        this.touch(known, program, nowMs);
        continue;
      }
      if (!this.makeRoom(1, nowMs)) return;
      this.blocks.set(hash, { hash, users: 0, program, lastUsedMs: nowMs });
      this.onEvent({ kind: 'stored', hash });
    }
  }

  /** Keeps blocks for a program until the hold expires; replaces its earlier hold. */
  hold(program: string, hashes: readonly string[], expiresAtMs: number): void {
    this.releaseHold(program);
    const present = hashes.filter((hash) => this.blocks.has(hash));
    if (present.length === 0) return;
    this.holds.set(program, { hashes: present, expiresAtMs });
    for (const hash of present) {
      this.holdCounts.set(hash, (this.holdCounts.get(hash) ?? 0) + 1);
    }
  }

  releaseHold(program: string): void {
    const hold = this.holds.get(program);
    if (!hold) return;
    this.holds.delete(program);
    for (const hash of hold.hashes) {
      const count = (this.holdCounts.get(hash) ?? 1) - 1;
      if (count === 0) this.holdCounts.delete(hash);
      else this.holdCounts.set(hash, count);
    }
  }

  expireHolds(nowMs: number): void {
    for (const [program, hold] of this.holds) {
      if (hold.expiresAtMs <= nowMs) this.releaseHold(program);
    }
  }

  /** Ends a program's hold and drops the blocks that it used last; returns the blocks dropped. */
  releaseProgram(program: string, nowMs: number): number {
    this.releaseHold(program);
    let dropped = 0;
    for (const block of [...this.blocks.values()]) {
      if (block.program !== program || !this.isEvictable(block)) continue;
      this.drop(block, nowMs);
      dropped += 1;
    }
    return dropped;
  }

  /** Blocks last used by a program, held or not. */
  countBlocksOf(program: string): number {
    let count = 0;
    for (const block of this.blocks.values()) if (block.program === program) count += 1;
    return count;
  }

  /** Usage with the time of blocks still in memory counted as unused up to now. */
  usageAt(nowMs: number): CacheUsage {
    let unusedTokenMs = this.usage.unusedTokenMs;
    for (const block of this.blocks.values()) {
      if (block.users === 0) unusedTokenMs += (nowMs - block.lastUsedMs) * BLOCK_TOKENS;
    }
    return { reusedTokenMs: this.usage.reusedTokenMs, unusedTokenMs };
  }

  private touch(block: Block, program: string, nowMs: number): void {
    this.usage.reusedTokenMs += (nowMs - block.lastUsedMs) * BLOCK_TOKENS;
    block.program = program;
    block.lastUsedMs = nowMs;
    this.blocks.delete(block.hash);
    this.blocks.set(block.hash, block);
  }

  private isEvictable(block: Block): boolean {
    return block.users === 0 && !this.holdCounts.has(block.hash);
  }

  private makeRoom(count: number, nowMs: number): boolean {
    let missing = this.usedBlocks + count - this.capacityBlocks;
    if (missing <= 0) return true;
    for (const block of this.blocks.values()) {
      if (!this.isEvictable(block)) continue;
      this.drop(block, nowMs);
      missing -= 1;
      if (missing <= 0) return true;
    }
    return false;
  }

  private drop(block: Block, nowMs: number): void {
    this.blocks.delete(block.hash);
    this.usage.unusedTokenMs += (nowMs - block.lastUsedMs) * BLOCK_TOKENS;
    this.onEvent({ kind: 'dropped', hash: block.hash });
  }
}
