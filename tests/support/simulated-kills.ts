/** Runs processes on one simulated disk in sequence, each killed at a random operation. */
import type { SeededRandom } from '../../src/common/index.js';
import type { SimulatedDisk } from './simulated-disk.js';

export interface KillSchedule {
  seed: number;
  disk: SimulatedDisk;
  random: SeededRandom;
  maxProcesses: number;
  /** Approximate number of operations of a process. */
  operations: number;
  /** Runs a process until it is killed at this operation, counted from 1, or exits. */
  runProcess: (killAt: number) => Promise<void>;
}

/**
 * Half of the kills are power failures; the last process is not killed.
 * @returns a description of the error, or undefined
 */
export async function runKillSchedule(schedule: KillSchedule): Promise<string | undefined> {
  const { seed, disk, random, maxProcesses: maxProcesses, operations, runProcess } = schedule;
  const processes = random.integer(2, maxProcesses);
  try {
    for (let count = 0; count < processes; count += 1) {
      await runProcess(random.integer(1, operations));
      if (random.chance(0.5)) disk.losePower();
    }
    await runProcess(Number.POSITIVE_INFINITY);
    return undefined;
  } catch (error) {
    return `seed ${seed}: ${(error as Error).message}`;
  } finally {
    disk.kill();
  }
}
