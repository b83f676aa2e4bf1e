/** Plays drawn schedules of faults against a simulated ledger under load. */
import type { DiskCluster } from './simulated-disk-cluster.js';
import type { ChainWriter } from './simulated-disk-load.js';

/** Number of schedules played at the same time. */
const SCHEDULE_CONCURRENCY = 12;

export interface FaultSchedule {
  /** Seed and properties of the schedule, for the description of its failures. */
  readonly label: string;
  /** @returns descriptions of all failures */
  play(): Promise<string[]>;
}

/** @returns descriptions of the failures of all schedules */
export async function playSchedulesOf(
  seeds: readonly number[],
  createSchedule: (seed: number) => FaultSchedule,
): Promise<string[]> {
  const failures: string[] = [];
  for (let first = 0; first < seeds.length; first += SCHEDULE_CONCURRENCY) {
    const together = seeds.slice(first, first + SCHEDULE_CONCURRENCY).map(createSchedule);
    const found = await Promise.all(together.map((schedule) => schedule.play()));
    for (const [place, problems] of found.entries()) {
      if (problems.length > 0) failures.push(`${together[place]!.label}: ${problems.join('; ')}`);
    }
  }
  return failures;
}

export interface LoadedLedger {
  cluster: DiskCluster;
  writers: readonly ChainWriter[];
  /** @returns descriptions of what is lost, once all members are back and nothing is written any more */
  findLosses: () => Promise<string[]>;
}

/**
 * Applies faults while the writers keep turns.
 * @returns descriptions of all failures
 */
export async function playUnderLoad(
  { cluster, writers, findLosses }: LoadedLedger,
  applyFaults: () => Promise<void>,
): Promise<string[]> {
  const stopWriters = (): Promise<unknown> => Promise.all(writers.map((writer) => writer.stop()));
  try {
    await cluster.bootstrap();
    for (const writer of writers) writer.start();
    await applyFaults();
    await stopWriters();
    return [...cluster.faults, ...(await findLosses())];
  } catch (error) {
    return [...cluster.faults, String(error), ...cluster.describeMembers()];
  } finally {
    await stopWriters();
    cluster.killAll();
  }
}
