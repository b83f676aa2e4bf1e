/**
 * Collects garbage at once. V8 collects buffers, which are outside its heap, only after 64 MB of them have been allocated; that
 * is more than a small process has left.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** @returns a function that collects the garbage of the process, which pauses it for some milliseconds */
export function createGarbageCollector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}
