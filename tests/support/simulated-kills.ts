/** Processes on one simulated disk, one after the other, each killed at a drawn operation. */
import type { SeededRandom } from '../../src/common/index.js';
import type { SimulatedDisk } from './simulated-disk.js';

export interface KillSchedule {
  seed: number;
  disk: SimulatedDisk;
  random: SeededRandom;
  maxProcesses: number;
  /** About as many operations as a process has. */
  operations: number;
  /** Runs one process until it is killed at an operation, counted from 1, or until it ends by itself. */
  runProcess: (killAt: number) => Promise<void>;
}

/**
 * Half of the deaths take the machine's power along; the last process ends by itself.
 * @returns what was wrong; undefined when nothing was
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
