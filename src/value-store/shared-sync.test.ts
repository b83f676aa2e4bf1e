/** Syncs that several tasks ask for at the same time. */
import { expect, it } from 'vitest';
import { Deferred, sleep } from '../common/index.js';
import { SharedSync } from './shared-sync.js';

it('is made once for all that ask while one is under way, and after it', async () => {
  const begun: Deferred<void>[] = [];
  const shared = new SharedSync(() => {
    const done = new Deferred<void>();
    begun.push(done);
    return done.promise;
  });
  const order: string[] = [];
  const first = shared.run().then(() => order.push('first'));
  const others = ['second', 'third'].map((name) => shared.run().then(() => order.push(name)));
  expect(begun).toHaveLength(1);
  begun[0]!.resolve();
  await first;
  await sleep(0);
  expect(order).toEqual(['first']);
  expect(begun).toHaveLength(2);
  begun[1]!.resolve();
  await Promise.all(others);
  expect(begun).toHaveLength(2);
  const again = shared.run();
  expect(begun).toHaveLength(3);
  begun[2]!.resolve();
  await again;
});

it('that failed is told to whoever asked, and made again for the next', async () => {
  let syncs = 0;
  const shared = new SharedSync(async () => {
    syncs += 1;
    if (syncs === 1) throw new Error('sync failed');
  });
  const first = shared.run();
  const second = shared.run();
  await expect(first).rejects.toThrow('sync failed');
  await second;
  expect(syncs).toBe(2);
});
