import { sleep } from '../../src/common/index.js';

const POLL_MS = 5;

/** Waits until a condition holds; fails the test when it does not in time. */
export async function waitUntil(
  what: string,
  condition: () => boolean | Promise<boolean>,
  patienceMs = 15_000,
): Promise<void> {
  const deadline = performance.now() + patienceMs;
  while (performance.now() < deadline) {
    if (await condition()) return;
    await sleep(POLL_MS);
  }
  throw new Error(`not in time: ${what}`);
}
