import { sleep } from '../../src/common/index.js';

const POLL_MS = 5;

/** Polls a condition until it holds; throws after the timeout. */
export async function waitUntil(
  what: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 15_000,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await condition()) return;
    await sleep(POLL_MS);
  }
  throw new Error(`not in time: ${what}`);
}
