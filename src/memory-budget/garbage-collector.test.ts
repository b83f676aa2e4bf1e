import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect, it } from 'vitest';
import { createGarbageCollector } from './garbage-collector.js';

it('frees a buffer that nobody holds', async () => {
  const collectGarbage = createGarbageCollector();
  const reference = new WeakRef(Buffer.alloc(1024 * 1024));
  // A weak reference holds its target until the turn of the event loop has ended.
  await nextTurn();
  expect(reference.deref()).toBeDefined();
  await nextTurn();
  collectGarbage();
  expect(reference.deref()).toBeUndefined();
});
