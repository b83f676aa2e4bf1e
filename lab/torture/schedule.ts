/** The faults of a seed and their times, derived from the seed alone so that runs are repeatable. */
import { SeededRandom } from '../../src/common/index.js';
import type { Fault } from './fault.js';
import { PLANNED_STOPS } from './faults/index.js';

export interface ScheduledFault {
  fault: Fault;
  /** Time after the start of the load, in milliseconds. */
  atMs: number;
  /** Seed of the fault's random generator. */
  seed: number;
}

export interface Schedule {
  faults: ScheduledFault[];
  /** The graceful stop of a process, part of each seed. */
  plannedStop: ScheduledFault;
  /** When two operators confirm concurrently. */
  operatorsAtMs: number;
}

/** How the faults of a seed are combined. */
type Pattern = 'single' | 'together' | 'twice';

const PATTERNS: readonly Pattern[] = ['single', 'single', 'together', 'twice'];
const FIRST_FAULT_AT_MS = [500, 1_500] as const;
const SECOND_FAULT_DELAY_MS = [0, 400] as const;
const REPEATED_FAULT_DELAY_MS = [2_500, 3_500] as const;
const PLANNED_STOP_AT_MS = [400, 3_000] as const;
const OPERATORS_AT_MS = [200, 1_200] as const;
const MAX_SEED = 0x7fffffff;

export function createSchedule(seed: number, faults: readonly Fault[]): Schedule {
  const random = new SeededRandom(seed);
  const scheduleFault = (fault: Fault, atMs: number): ScheduledFault => ({
    fault,
    atMs,
    seed: random.integer(1, MAX_SEED),
  });
  const pattern = random.pick(PATTERNS);
  // Consecutive seeds begin with consecutive faults, so that each fault is covered.
  const first = scheduleFault(faults[seed % faults.length]!, random.integer(...FIRST_FAULT_AT_MS));
  const scheduled = [first];
  if (pattern === 'together') {
    const second = random.pick(faults.filter(({ family }) => mayOverlap(family, first.fault)));
    scheduled.push(scheduleFault(second, first.atMs + random.integer(...SECOND_FAULT_DELAY_MS)));
  }
  if (pattern === 'twice' && first.fault.family !== 'disk') {
    scheduled.push(
      scheduleFault(first.fault, first.atMs + random.integer(...REPEATED_FAULT_DELAY_MS)),
    );
  }
  return {
    faults: scheduled,
    plannedStop: scheduleFault(random.pick(PLANNED_STOPS), random.integer(...PLANNED_STOP_AT_MS)),
    operatorsAtMs: random.integer(...OPERATORS_AT_MS),
  };
}

function mayOverlap(family: Fault['family'], first: Fault): boolean {
  return family !== 'disk' || first.family !== 'disk';
}
