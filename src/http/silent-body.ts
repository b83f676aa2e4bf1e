/** Detects request bodies that stop short, so that their connections are not held for as long as their callers stay. */
import type { IncomingMessage } from 'node:http';

/** Interval at which a connection is checked that this process does not read, in milliseconds. */
const HELD_BACK_CHECK_MS = 1_000;

/**
 * Calls the listener, once, when no byte of the body has arrived for some time. Time in which this process does not read
 * the connection does not count.
 * @param silenceMs in milliseconds
 */
export function onSilentBody(
  request: IncomingMessage,
  silenceMs: number,
  listener: () => void,
): void {
  const isHeldBack = (): boolean => request.isPaused() || request.socket.isPaused();
  let lastByteAt = performance.now();
  const check = (): void => {
    const remainingMs = lastByteAt + silenceMs - performance.now();
    if (isHeldBack()) {
      lastByteAt = performance.now();
      watch(Math.min(silenceMs, HELD_BACK_CHECK_MS));
    } else if (remainingMs > 0) watch(remainingMs);
    else listener();
  };
  // After a stall of the process, timers run before sockets are read: bytes that have arrived are read first.
  const checkBehindReads = (): void => void (immediate = setImmediate(check));
  const watch = (ms: number): void => void (timer = setTimeout(checkBehindReads, ms));
  let immediate: NodeJS.Immediate | undefined;
  let timer: NodeJS.Timeout | undefined;
  const stop = (): void => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
  watch(silenceMs);
  request.on('data', () => (lastByteAt = performance.now()));
  request.once('end', stop);
  request.once('close', stop);
}
