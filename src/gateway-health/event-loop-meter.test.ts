/** Guards against delays that are left out because they follow directly on a reading, and against idle wake-ups. */
import { expect, it, onTestFinished, vi } from 'vitest';
import { monotonicMs, sleep } from '../common/index.js';
import { EventLoopMeter } from './event-loop-meter.js';

const BLOCK_MS = 150;

function startedMeter(): EventLoopMeter {
  const meter = new EventLoopMeter();
  meter.start();
  onTestFinished(() => meter.stop());
  return meter;
}

function blockEventLoop(): void {
  const until = monotonicMs() + BLOCK_MS;
  while (monotonicMs() < until);
}

it('measures the delay of each interval of a busy loop from the second one on', async () => {
  const meter = startedMeter();
  for (let interval = 0; interval < 4; interval += 1) {
    blockEventLoop();
    await sleep(1);
    const { utilization, delayMs } = meter.read(false);
    expect(utilization).toBeGreaterThan(0.8);
    if (interval > 0) expect(delayMs).toBeGreaterThan(BLOCK_MS - 25);
  }
});

it('measures delays of an idle loop only on request, and without a timer otherwise', async () => {
  const setTimer = vi.spyOn(globalThis, 'setInterval');
  onTestFinished(() => setTimer.mockRestore());
  const meter = startedMeter();
  await sleep(400);
  const idle = meter.read(false);
  expect(idle.utilization).toBeLessThan(0.5);
  expect(idle.delayMs).toBe(0);
  expect(setTimer).not.toHaveBeenCalled();
  meter.read(true);
  await sleep(100);
  expect(meter.read(false).delayMs).toBeGreaterThan(0);
  expect(setTimer).toHaveBeenCalledTimes(1);
});
