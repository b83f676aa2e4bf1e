/** Memory limit of a process that was told none. */
import { totalmem } from 'node:os';

/** Part of the machine's memory, or of its control group's, that one process may use. */
const PROCESS_FRACTION = 0.5;

/**
 * @param machineBytes memory of the machine
 * @param constrainedBytes limit of the control group; 0 or more than the machine has if there is none
 * @returns bytes
 */
export function defaultMemoryLimitBytes(
  machineBytes = totalmem(),
  constrainedBytes = process.constrainedMemory(),
): number {
  const isConstrained = constrainedBytes > 0 && constrainedBytes < machineBytes;
  return Math.floor((isConstrained ? constrainedBytes : machineBytes) * PROCESS_FRACTION);
}
