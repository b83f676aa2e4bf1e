/** Memory usage of this process after garbage collection. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { sleep } from '../../src/common/index.js';

/** Buffers are freed in the background after a collection, so that a single reading may be too high. */
const READING_COUNT = 5;
const READING_INTERVAL_MS = 20;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Returns the bytes of heap and buffers: the minimum of several readings. */
export async function measureUsedBytes(): Promise<number> {
  let minimum = Number.POSITIVE_INFINITY;
  for (let reading = 0; reading < READING_COUNT; reading += 1) {
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    minimum = Math.min(minimum, heapUsed + external);
    await sleep(READING_INTERVAL_MS);
  }
  return minimum;
}
