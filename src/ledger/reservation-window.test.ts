/** Size of the reservation window and the order of admission. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { ReservationWindow } from './reservation-window.js';

const USEFUL_MS = 1_000;
const FAST_MS = 5;
const SLOW_MS = 400;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

class Turns {
  isSilent = false;
  readonly window = new ReservationWindow(() => this.isSilent);
  /** Turns that were admitted, in order, and turns that were refused. */
  readonly entered: number[] = [];
  readonly refused: number[] = [];

  async arrive(...turns: number[]): Promise<void> {
    for (const turn of turns) {
      void this.window
        .enter(USEFUL_MS)
        .then((hasEntered) => (hasEntered ? this.entered : this.refused).push(turn));
    }
    await vi.advanceTimersByTimeAsync(0);
  }

  async respond(tookMs: number): Promise<void> {
    this.window.leaveAnswered(tookMs);
    await vi.advanceTimersByTimeAsync(0);
  }
}

const numbers = (from: number, to: number): number[] =>
  Array.from({ length: to - from + 1 }, (_, index) => from + index);

describe('the reservation window', () => {
  it('admits sixteen requests, in FIFO order, while responses are fast', async () => {
    const turns = new Turns();
    await turns.arrive(...numbers(1, 20));
    expect(turns.entered).toEqual(numbers(1, 16));
    await turns.respond(FAST_MS);
    expect(turns.entered.at(-1)).toBe(17);
  });

  it('shrinks to four while responses are slow, and grows again', async () => {
    const turns = new Turns();
    await turns.arrive(...numbers(1, 16));
    for (let count = 0; count < 16; count += 1) await turns.respond(SLOW_MS);
    await turns.arrive(...numbers(17, 40));
    expect(turns.entered.length).toBe(16 + 4);
    await turns.respond(FAST_MS);
    await turns.respond(FAST_MS);
    expect(turns.entered.length).toBe(16 + 4 + 2 + 2);
  });

  it('admits one request while the ledger is silent, then doubles with each round of responses', async () => {
    const turns = new Turns();
    turns.isSilent = true;
    await turns.arrive(1, 2, 3);
    expect(turns.entered).toEqual([1]);
    turns.window.leaveFailed(SLOW_MS);
    await vi.advanceTimersByTimeAsync(0);
    expect(turns.entered).toEqual([1, 3]);
    turns.isSilent = false;
    await turns.arrive(4, 5, 6, 7);
    await turns.respond(FAST_MS);
    expect(turns.entered).toEqual([1, 3, 7, 6]);
    await turns.respond(FAST_MS);
    await turns.respond(FAST_MS);
    expect(turns.entered.length).toBe(4 + 3);
  });

  it('refuses a turn once no response is expected in time', async () => {
    const turns = new Turns();
    await turns.arrive(0);
    turns.window.leaveFailed(USEFUL_MS);
    await turns.arrive(1, 2);
    await vi.advanceTimersByTimeAsync(USEFUL_MS - turns.window.expectedResponseMs - 1);
    expect(turns.refused).toEqual([]);
    await vi.advanceTimersByTimeAsync(2);
    expect(turns.refused).toEqual([2]);
  });
});
