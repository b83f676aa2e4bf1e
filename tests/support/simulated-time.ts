/**
 * Time that passes only while everything waits, so that no load of the machine moves what a test measures: it goes on
 * to the next timer once nothing is left to do at this moment. Work itself takes no time.
 */
import { onTestFinished, vi } from 'vitest';
import { SeededRandom } from '../../src/common/index.js';

/** As in Node, no timer is shorter. */
const SHORTEST_TIMER_MS = 1;

const nextTurnOfTheLoop = setImmediate;

/** Simulates time, and draws chance from a seed, from now to the end of the test. */
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
  const asInNode = (work: () => void, delayMs = 0): NodeJS.Timeout =>
    simulatedTimer(work, Math.max(SHORTEST_TIMER_MS, Math.trunc(delayMs)));
  vi.spyOn(globalThis, 'setTimeout').mockImplementation(asInNode as typeof setTimeout);
  vi.spyOn(Math, 'random').mockImplementation(() => random.uniform());
  let isOver = false;
  const passTime = (): void => {
    if (isOver) return;
    vi.advanceTimersToNextTimer();
    nextTurnOfTheLoop(passTime);
  };
  nextTurnOfTheLoop(passTime);
  onTestFinished(() => {
    isOver = true;
    vi.restoreAllMocks();
    vi.useRealTimers();
  });
}
