/** Which faults happen when in a seed: drawn from the seed alone, so that it can be run again. */
import { SeededRandom } from '../../src/common/index.js';
import type { Fault } from './fault.js';
import { PLANNED_STOPS } from './faults/index.js';

export interface ScheduledFault {
  fault: Fault;
  /** Time after the beginning of the load, in milliseconds. */
  atMs: number;
  /** Seed of the fault's own choices. */
  seed: number;
}

export interface Schedule {
  faults: ScheduledFault[];
  /** One planned stop happens in every seed. */
  plannedStop: ScheduledFault;
  /** When two operators confirm at the same time. */
  operatorsAtMs: number;
}

/** How faults of one seed follow each other. */
type Pattern = 'single' | 'together' | 'twice';

const PATTERNS: readonly Pattern[] = ['single', 'single', 'together', 'twice'];
const FIRST_AT_MS = [500, 1_500] as const;
const SECOND_AFTER_MS = [0, 400] as const;
const AGAIN_AFTER_MS = [2_500, 3_500] as const;
const PLANNED_STOP_AT_MS = [400, 3_000] as const;
const OPERATORS_AT_MS = [200, 1_200] as const;
const LARGEST_SEED = 0x7fffffff;

export function createSchedule(seed: number, faults: readonly Fault[]): Schedule {
  const random = new SeededRandom(seed);
  const draw = (fault: Fault, atMs: number): ScheduledFault => ({
    fault,
    atMs,
    seed: random.integer(1, LARGEST_SEED),
  });
  const pattern = random.pick(PATTERNS);
  // Every fault has its turn as the first one of a seed.
  const first = draw(faults[seed % faults.length]!, random.integer(...FIRST_AT_MS));
  const scheduled = [first];
  if (pattern === 'together') {
    const second = random.pick(faults.filter(({ family }) => mayOverlap(family, first.fault)));
    scheduled.push(draw(second, first.atMs + random.integer(...SECOND_AFTER_MS)));
  }
  if (pattern === 'twice' && first.fault.family !== 'disk') {
    scheduled.push(draw(first.fault, first.atMs + random.integer(...AGAIN_AFTER_MS)));
  }
  return {
    faults: scheduled,
    plannedStop: draw(random.pick(PLANNED_STOPS), random.integer(...PLANNED_STOP_AT_MS)),
    operatorsAtMs: random.integer(...OPERATORS_AT_MS),
  };
}

function mayOverlap(family: Fault['family'], first: Fault): boolean {
  return family !== 'disk' || first.family !== 'disk';
}
