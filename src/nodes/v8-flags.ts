/**
 * Flags of the JavaScript engine that are set once all modules are loaded. On the command line they
 * would cost every start: Node's own modules come with compiled code, which the engine only takes
 * when its flags are those that Node was built with.
 */
import { getHeapStatistics, setFlagsFromString } from 'node:v8';

const BYTES_PER_MB = 1024 * 1024;

/**
 * WebAssembly is compiled once, without optimizing: the HTTP parser is the only large module, and
 * the optimizing compiler held 15 MB for it (docs/measures/rounds.md).
 */
const WEBASSEMBLY_FLAG = '--liftoff-only';

/** Call it after the role's modules are loaded and before its first connection. */
export function setV8Flags(): void {
  setFlagsFromString(WEBASSEMBLY_FLAG);
}

/** The engine's limit for the heap, which follows from the machine's memory, in MB. */
export function heapLimitMb(): number {
  return Math.round(getHeapStatistics().heap_size_limit / BYTES_PER_MB);
}
