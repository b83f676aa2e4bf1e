/** Budget of the bytes that a process holds for peers outside, and what keeps its memory below its limit. */
export { type AnswerWriter, OutgoingAnswer } from './outgoing-answer.js';
export {
  type HolderKind,
  type HolderOptions,
  MemoryBudget,
  type MemoryBudgetOptions,
  type MemoryHolder,
} from './memory-budget.js';
export { MemoryBudgetMetrics } from './memory-budget-metrics.js';
export { MemoryWatch } from './memory-watch.js';
export { ByteAccumulator } from './byte-accumulator.js';
export { defaultMemoryLimitBytes } from './default-memory-limit.js';
export { ProcessMemory } from './process-memory.js';
export { ReceivedBody } from './received-body.js';
export { processGcTrigger } from './gc-trigger.js';
