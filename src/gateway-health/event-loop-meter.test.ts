/** Guards against delays that are not measured because they follow directly on a reading, and against idle noise. */
import { expect, it, onTestFinished } from 'vitest';
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

it('measures a delay in the interval in which it occurred, also the first one', async () => {
  const meter = startedMeter();
  for (let interval = 0; interval < 3; interval += 1) {
    blockEventLoop();
    await sleep(1);
    const { utilization, delayMs } = meter.read();
    expect(delayMs).toBeGreaterThan(100);
    expect(utilization).toBeGreaterThan(0.8);
  }
});

it('measures a low utilization of an idle process', async () => {
  const meter = startedMeter();
  await sleep(100);
  meter.read();
  await sleep(400);
  expect(meter.read().utilization).toBeLessThan(0.6);
});
