import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { countMessageTokens } from '../../src/common/index.js';
import { expectedAnswer, renderPrompt } from './answer-text.js';
import { EngineModel } from './engine-model.js';
import { BLOCK_TOKENS, DEFAULT_ENGINE_OPTIONS } from './engine-options.js';
import { PrefixCache, blockHashes } from './prefix-cache.js';
import type { EngineRequest, EngineSequence } from './sequence.js';

const LONG_TEXT = 'word '.repeat(2_000);

function createRequest(overrides: Partial<EngineRequest> & { text?: string } = {}): EngineRequest {
  const messages = [{ role: 'user', content: overrides.text ?? LONG_TEXT }];
  return {
    tenant: 't',
    program: 'p',
    sequence: 1,
    attempt: 1,
    model: 'm',
    prompt: renderPrompt(messages),
    promptTokens: countMessageTokens(messages),
    maxTokens: 64,
    priority: 0,
    holdMs: 0,
    ...overrides,
  };
}

function submit(engine: EngineModel, request: EngineRequest): EngineSequence {
  const result = engine.submit(request);
  if (result.kind !== 'accepted') throw new Error(result.kind);
  return result.sequence;
}

function runUntilIdle(engine: EngineModel): void {
  while (!engine.isIdle) if (engine.step() === 0) throw new Error('engine makes no progress');
}

describe('engine', () => {
  it('generates the answer that a caller expects', () => {
    const engine = new EngineModel(DEFAULT_ENGINE_OPTIONS);
    const sequence = submit(engine, createRequest({ text: 'hello' }));
    runUntilIdle(engine);
    const messages = [{ role: 'user', content: 'hello' }];
    expect(sequence.text).toBe(expectedAnswer('m', messages, 64));
  });

  it('reuses cached prefixes only for the same tenant', () => {
    const engine = new EngineModel(DEFAULT_ENGINE_OPTIONS);
    const first = submit(engine, createRequest());
    runUntilIdle(engine);
    const same = submit(engine, createRequest({ sequence: 2 }));
    const other = submit(engine, createRequest({ tenant: 'u', program: 'q' }));
    runUntilIdle(engine);
    expect(first.cachedTokens).toBe(0);
    expect(same.cachedTokens).toBeGreaterThan(2_000);
    expect(other.cachedTokens).toBe(0);
  });

  it('takes longer steps for larger batches and prefills', () => {
    const engine = new EngineModel(DEFAULT_ENGINE_OPTIONS);
    submit(engine, createRequest());
    const alone = engine.step();
    const batched = new EngineModel(DEFAULT_ENGINE_OPTIONS);
    for (let index = 0; index < 8; index += 1) {
      submit(batched, createRequest({ program: `p${index}`, text: `${index} short` }));
    }
    expect(alone).toBeGreaterThan(batched.step());
    expect(batched.step()).toBeGreaterThan(DEFAULT_ENGINE_OPTIONS.baseStepMs);
  });

  it('schedules lower priority values first when the batch is full', () => {
    const engine = new EngineModel({ ...DEFAULT_ENGINE_OPTIONS, maxBatch: 1 });
    const running = submit(engine, createRequest({ program: 'a', text: 'a' }));
    engine.step();
    const late = submit(engine, createRequest({ program: 'b', text: 'b', priority: 5 }));
    const urgent = submit(engine, createRequest({ program: 'c', text: 'c', priority: 1 }));
    while (!running.isOver) engine.step();
    engine.step();
    expect([late.state, urgent.state]).toEqual(['waiting', 'decode']);
  });

  it('joins repeats of an attempt and fences older attempts', () => {
    const engine = new EngineModel(DEFAULT_ENGINE_OPTIONS);
    const first = submit(engine, createRequest());
    expect(submit(engine, createRequest())).toBe(first);
    const second = submit(engine, createRequest({ attempt: 2 }));
    expect(first.state).toBe('cancelled');
    expect(engine.submit(createRequest()).kind).toBe('fenced');
    runUntilIdle(engine);
    expect(second.state).toBe('finished');
  });

  it('rejects requests that exceed the memory or the queue', () => {
    const engine = new EngineModel({
      ...DEFAULT_ENGINE_OPTIONS,
      cacheTokens: 1_024,
      maxWaiting: 1,
    });
    expect(engine.submit(createRequest()).kind).toBe('too-long');
    submit(engine, createRequest({ text: 'a' }));
    expect(engine.submit(createRequest({ program: 'q', text: 'b' })).kind).toBe('overloaded');
  });

  it('holds a prefix until the hold expires or the program is released', () => {
    const engine = new EngineModel(DEFAULT_ENGINE_OPTIONS);
    submit(engine, createRequest({ holdMs: 1_000 }));
    submit(engine, createRequest({ program: 'q', holdMs: 5_000, text: `other ${LONG_TEXT}` }));
    runUntilIdle(engine);
    expect(engine.cache.heldPrograms).toEqual(['p', 'q']);
    engine.idle(1_500);
    expect(engine.cache.heldPrograms).toEqual(['q']);
    expect(engine.releaseProgram('q')).toBeGreaterThan(0);
    expect(engine.cache.heldPrograms).toEqual([]);
    expect(engine.cache.countBlocksOf('q')).toBe(0);
  });

  it('never exceeds its memory for any sequence of requests', () => {
    const step = fc.record({
      program: fc.integer({ min: 0, max: 5 }),
      words: fc.integer({ min: 1, max: 400 }),
      holdMs: fc.constantFrom(0, 100, 10_000),
      steps: fc.integer({ min: 0, max: 30 }),
      release: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 25 }), (steps) => {
        const engine = new EngineModel({ ...DEFAULT_ENGINE_OPTIONS, cacheTokens: 2_048 });
        const capacity = 2_048 / BLOCK_TOKENS;
        for (const [index, { program, words, holdMs, steps: count, release }] of steps.entries()) {
          const text = `program ${program} ${'abc '.repeat(words)}`;
          engine.submit(createRequest({ program: `p${program}`, sequence: index, text, holdMs }));
          for (let turn = 0; turn < count; turn += 1) engine.step();
          if (release) engine.releaseProgram(`p${program}`);
          expect(engine.cache.usedBlocks).toBeLessThanOrEqual(capacity);
        }
      }),
      { numRuns: 100 },
    );
  });
});

describe('PrefixCache', () => {
  const hashesOf = (count: number, name: string): string[] =>
    blockHashes('t', 'm', name.repeat(count * BLOCK_TOKENS * 4).slice(0, count * BLOCK_TOKENS * 4));

  it('evicts the least recently used block that is neither pinned nor held', () => {
    const cache = new PrefixCache(4);
    const [oldest, pinned, held] = [hashesOf(1, 'a'), hashesOf(1, 'b'), hashesOf(1, 'c')];
    cache.store(oldest, 'old', 1);
    cache.store(pinned, 'pinned', 2);
    cache.store(held, 'held', 3);
    cache.pin(pinned, 'pinned', 4);
    cache.hold('held', held, 1_000);
    cache.store(hashesOf(2, 'd'), 'new', 5);
    expect([oldest, pinned, held].map((hashes) => cache.matchLength(hashes))).toEqual([0, 1, 1]);
  });

  it('accounts for reused and unused time', () => {
    const cache = new PrefixCache(10);
    const hashes = hashesOf(1, 'a');
    cache.store(hashes, 'p', 0);
    cache.pin(hashes, 'p', 100);
    cache.unpin(hashes);
    expect(cache.usageAt(150)).toEqual({
      reusedTokenMs: 100 * BLOCK_TOKENS,
      unusedTokenMs: 50 * BLOCK_TOKENS,
    });
  });
});
