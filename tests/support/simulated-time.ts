/**
 * Simulated time that advances to the next timer only when the event loop is idle, so that the load of the machine
 * does not affect the measured times. Computation takes no simulated time.
 */
import { onTestFinished, vi } from 'vitest';
import { SeededRandom } from '../../src/common/index.js';

/** Minimum delay of a timer, as in Node.js. */
const MIN_TIMER_MS = 1;

const nextEventLoopTurn = setImmediate;

/** Simulates time and seeds `Math.random` until the end of the test. */
export function simulateTime(seed: number): void {
  const random = new SeededRandom(seed);
  vi.useFakeTimers({
    toFake: [
      'setTimeout',
      'clearTimeout',
      'setInterval',
      'clearInterval',
      'setImmediate',
      'clearImmediate',
      'performance',
      'Date',
    ],
  });
  const simulatedTimer = globalThis.setTimeout;
  const setNodeTimeout = (work: () => void, delayMs = 0): NodeJS.Timeout =>
    simulatedTimer(work, Math.max(MIN_TIMER_MS, Math.trunc(delayMs)));
  vi.spyOn(globalThis, 'setTimeout').mockImplementation(setNodeTimeout as typeof setTimeout);
  vi.spyOn(Math, 'random').mockImplementation(() => random.uniform());
  let hasEnded = false;
  const passTime = (): void => {
    if (hasEnded) return;
    vi.advanceTimersToNextTimer();
    nextEventLoopTurn(passTime);
  };
  nextEventLoopTurn(passTime);
  onTestFinished(() => {
    hasEnded = true;
    vi.restoreAllMocks();
    vi.useRealTimers();
  });
}
