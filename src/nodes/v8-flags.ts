/**
 * V8 flags that are set after all modules are loaded. On the command line they would slow down every
 * start, because V8 accepts the code cache of Node's own modules only with the flags of Node's build.
 */
import { getHeapStatistics, setFlagsFromString } from 'node:v8';

const BYTES_PER_MB = 1024 * 1024;

/**
 * Compiles WebAssembly with the baseline compiler only. The HTTP parser is the only large module, and
 * the optimizing compiler would use 15 MB for it.
 */
const WEBASSEMBLY_FLAG = '--liftoff-only';

/** Must be called after the role's modules are loaded and before the first connection. */
export function setV8Flags(): void {
  setFlagsFromString(WEBASSEMBLY_FLAG);
}

/** Returns V8's heap limit, which depends on the machine's memory. */
export function heapLimitMb(): number {
  return Math.round(getHeapStatistics().heap_size_limit / BYTES_PER_MB);
}
