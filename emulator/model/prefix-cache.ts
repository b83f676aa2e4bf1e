/**
 * Prefix cache of an emulated engine. Each block of tokens is identified by a hash of the whole
 * prefix up to its end. Blocks are evicted in LRU order unless they are pinned by a running sequence
 * or held for a program.
 */
import { CHARACTERS_PER_TOKEN, hash64Hex } from '../../src/common/index.js';
import { BLOCK_TOKENS } from './engine-options.js';

const BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;

interface Block {
  hash: string;
  /** Number of running sequences that use the block. */
  users: number;
  /** Program that used the block last. */
  program: string;
  lastUsedMs: number;
}

interface Hold {
  hashes: string[];
  expiresAtMs: number;
}

/** Memory use of cached blocks, in token-milliseconds of model time. */
export interface CacheUsage {
  /** Time that blocks stayed in memory before they were used again. */
  reusedTokenMs: number;
  /** Time that blocks stayed in memory after their last use, until they were evicted. */
  unusedTokenMs: number;
}

export interface CacheEvent {
  kind: 'stored' | 'dropped';
  hash: string;
}

/** Hashes of a prompt's complete blocks. They include the tenant: tenants never share blocks. */
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
  /** In LRU order, the least recently used block first. */
  private readonly blocks = new Map<string, Block>();
  private readonly holds = new Map<string, Hold>();
  private readonly holdCounts = new Map<string, number>();
  /** Blocks that running sequences occupy in addition to the cached ones. */
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

  /** Number of leading blocks that are cached. */
  matchLength(hashes: readonly string[]): number {
    let length = 0;
    while (length < hashes.length && this.blocks.has(hashes[length]!)) length += 1;
    return length;
  }

  /** Marks cached blocks as used by a sequence; they are not evicted before `unpin`. */
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

  /** Reserves memory for a running sequence; returns false if eviction can't free enough. */
  reservePrivate(count: number, nowMs: number): boolean {
    if (!this.evictUntilFits(count, nowMs)) return false;
    this.privateBlocks += count;
    return true;
  }

  freePrivate(count: number): void {
    this.privateBlocks -= count;
  }

  /** Adds computed or imported blocks until the memory is full. */
  store(hashes: readonly string[], program: string, nowMs: number): void {
    for (const hash of hashes) {
      const cached = this.blocks.get(hash);
      if (cached) {
        this.touch(cached, program, nowMs);
        continue;
      }
      if (!this.evictUntilFits(1, nowMs)) return;
      this.blocks.set(hash, { hash, users: 0, program, lastUsedMs: nowMs });
      this.onEvent({ kind: 'stored', hash });
    }
  }

  /** Protects blocks from eviction until the hold expires; replaces the program's earlier hold. */
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

  /** Releases a program's hold and evicts the blocks that it used last; returns their number. */
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

  /** Number of blocks that a program used last, held or not. */
  countBlocksOf(program: string): number {
    let count = 0;
    for (const block of this.blocks.values()) if (block.program === program) count += 1;
    return count;
  }

  /** Usage up to now; blocks in memory that no sequence uses count as unused since their last use. */
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

  private evictUntilFits(count: number, nowMs: number): boolean {
    let excess = this.usedBlocks + count - this.capacityBlocks;
    if (excess <= 0) return true;
    for (const block of this.blocks.values()) {
      if (!this.isEvictable(block)) continue;
      this.drop(block, nowMs);
      excess -= 1;
      if (excess <= 0) return true;
    }
    return false;
  }

  private drop(block: Block, nowMs: number): void {
    this.blocks.delete(block.hash);
    this.usage.unusedTokenMs += (nowMs - block.lastUsedMs) * BLOCK_TOKENS;
    this.onEvent({ kind: 'dropped', hash: block.hash });
  }
}
