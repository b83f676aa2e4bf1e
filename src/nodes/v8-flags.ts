/**
 * V8 flags that are set after all modules are loaded. On the command line they would slow down every
 * start, because V8 accepts the code cache of Node's own modules only with the flags of Node's build.
 */
import { getHeapStatistics, setFlagsFromString } from 'node:v8';

const BYTES_PER_MB = 1024 * 1024;

/**
 * Bytes of bytecode that a function executes before V8 optimizes it. More than V8's default: optimizing takes longer than
 * it saves in the first minute of a process, on a fraction of a core.
 */
const OPTIMIZATION_BUDGET_BYTES = 264 * 1024;

const FLAGS = [
  // Only the baseline compiler for WebAssembly. The HTTP parser is the only large module, and the optimizing compiler would
  // use 15 MB for it.
  '--liftoff-only',
  // The baseline compiler for each function at its first call, instead of the interpreter.
  '--always-sparkplug',
  `--interrupt-budget=${OPTIMIZATION_BUDGET_BYTES}`,
  // Waking other threads costs more than they save in a young generation of a few MB.
  '--no-parallel-scavenge',
];

/** Must be called after the role's modules are loaded and before the first connection. */
export function setV8Flags(): void {
  for (const flag of FLAGS) setFlagsFromString(flag);
}

/** Returns V8's heap limit, which depends on the machine's memory. */
export function heapLimitMb(): number {
  return Math.round(getHeapStatistics().heap_size_limit / BYTES_PER_MB);
}
