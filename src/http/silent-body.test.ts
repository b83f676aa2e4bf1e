/** Request bodies of which no byte arrives. */
import { EventEmitter } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { onSilentBody } from './silent-body.js';

const SILENCE_MS = 1_000;

/** What is used of a request whose body arrives when the test says so. */
class ArrivingRequest extends EventEmitter {
  isConnectionPaused = false;
  readonly socket = { isPaused: (): boolean => this.isConnectionPaused };

  isPaused(): boolean {
    return false;
  }
}

let request: ArrivingRequest;
let silences: number;

beforeEach(() => {
  vi.useFakeTimers();
  request = new ArrivingRequest();
  silences = 0;
  const message = request as unknown as IncomingMessage;
  onSilentBody(message, SILENCE_MS, () => (silences += 1));
});
afterEach(() => vi.useRealTimers());

/** Lets one byte arrive after each interval. */
function trickle(bytes: number, intervalMs: number): void {
  for (let byte = 0; byte < bytes; byte += 1) {
    vi.advanceTimersByTime(intervalMs);
    request.emit('data', Buffer.from('x'));
  }
}

it('ends once when no byte arrives in time', () => {
  trickle(1, SILENCE_MS / 2);
  vi.advanceTimersByTime(SILENCE_MS - 1);
  expect(silences).toBe(0);
  vi.advanceTimersByTime(5 * SILENCE_MS);
  expect(silences).toBe(1);
});

it('goes on for as long as bytes arrive', () => {
  trickle(50, SILENCE_MS * 0.9);
  expect(silences).toBe(0);
});

it('goes on while this process does not read the connection, and has its whole time afterwards', () => {
  request.isConnectionPaused = true;
  vi.advanceTimersByTime(3 * SILENCE_MS + 10);
  request.isConnectionPaused = false;
  vi.advanceTimersByTime(SILENCE_MS / 2);
  expect(silences).toBe(0);
  vi.advanceTimersByTime(SILENCE_MS);
  expect(silences).toBe(1);
});

it.each(['end', 'close'])('is not watched after its %s', (event) => {
  request.emit(event);
  vi.advanceTimersByTime(5 * SILENCE_MS);
  expect([silences, vi.getTimerCount()]).toEqual([0, 0]);
});
