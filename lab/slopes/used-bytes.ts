/** What this process holds after garbage has gone. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { sleep } from '../../src/common/index.js';

/** Buffers are given back in the background after a collection, so that one reading may be early. */
const READINGS = 5;
const READING_PAUSE_MS = 20;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Bytes of heap and buffers: the least of some readings. */
export async function usedBytes(): Promise<number> {
  let least = Number.POSITIVE_INFINITY;
  for (let reading = 0; reading < READINGS; reading += 1) {
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    least = Math.min(least, heapUsed + external);
    await sleep(READING_PAUSE_MS);
  }
  return least;
}
