import { describe, expect, it, onTestFinished } from 'vitest';
import { monotonicMs } from '../common/index.js';
import { createLogger } from '../observability/index.js';
import { StallDetector } from './stall-detector.js';

const STALL_MS = 100;
const logger = createLogger({});

function standStill(milliseconds: number): void {
  const until = monotonicMs() + milliseconds;
  while (monotonicMs() < until);
}

async function timeToSettle(guard: StallDetector): Promise<number> {
  const startedAt = monotonicMs();
  await guard.waitAfterStall();
  return monotonicMs() - startedAt;
}

describe('stall guard', () => {
  it('waits a moment after the process stood still, and only then', async () => {
    const guard = new StallDetector({ logger, stallMs: STALL_MS });
    onTestFinished(() => guard.stop());
    standStill(STALL_MS * 3);
    expect(await timeToSettle(guard)).toBeGreaterThan(20);
    const calm = new StallDetector({ logger, stallMs: 60_000 });
    onTestFinished(() => calm.stop());
    standStill(STALL_MS);
    expect(await timeToSettle(calm)).toBeLessThan(20);
  });
});
