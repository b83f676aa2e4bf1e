import { describe, expect, it, onTestFinished } from 'vitest';
import { monotonicMs } from '../common/index.js';
import { createLogger } from '../observability/index.js';
import { StallDetector } from './stall-detector.js';

const STALL_MS = 100;
const logger = createLogger({});

function blockEventLoop(milliseconds: number): void {
  const until = monotonicMs() + milliseconds;
  while (monotonicMs() < until);
}

async function waitTime(detector: StallDetector): Promise<number> {
  const startedAt = monotonicMs();
  await detector.waitAfterStall();
  return monotonicMs() - startedAt;
}

describe('stall detector', () => {
  it('delays only after a stall of the process', async () => {
    const detector = new StallDetector({ logger, stallMs: STALL_MS });
    onTestFinished(() => detector.stop());
    blockEventLoop(STALL_MS * 3);
    expect(await waitTime(detector)).toBeGreaterThan(20);
    const unstalled = new StallDetector({ logger, stallMs: 60_000 });
    onTestFinished(() => unstalled.stop());
    blockEventLoop(STALL_MS);
    expect(await waitTime(unstalled)).toBeLessThan(20);
  });
});
