/** Simulates programs of one tenant at one gateway and counts how many complete under a limit. */
import { SeededRandom } from '../../src/common/random.js';
import { GatewayShares } from '../../src/quotas/gateway-shares.js';
import { ShareRegistry } from '../../src/quotas/share-registry.js';
import { TOLERANCE } from './quota-simulation.js';

const LIMIT = { name: 'tenant', ratePerSecond: 60, burst: 60 };
const CALLS_IN_PROGRAM = 12;
const PAUSE_MS = 250;
const STEP_MS = 5;
const LENGTH_MS = 30_000;
const WARM_UP_MS = 3_000;
const REPORT_INTERVAL_MS = 200;
const LEASE_MS = 3_500;
/** Maximum retries of a rejected call. */
const MAX_RETRIES = 3;

interface Program {
  callsLeft: number;
  retries: number;
  dueAt: number;
}

export interface ProgramsOutcome {
  started: number;
  completed: number;
  /** Programs that the limit allows to complete. */
  sustainable: number;
}

/**
 * @param load calls of all started programs, as a multiple of the limit
 * @param distinguishesFirstCalls whether the first call of a program is treated differently
 */
export function runPrograms(load: number, distinguishesFirstCalls = true): ProgramsOutcome {
  const random = new SeededRandom(4);
  const shares = new GatewayShares();
  const registry = new ShareRegistry({
    tolerance: TOLERANCE,
    leaseMs: LEASE_MS,
    overlapMs: 0,
    mayShare: () => true,
  });
  registry.begin({ gateways: [], tenants: [] }, 0);
  registry.setLimits([LIMIT], 0);
  const programsPerStep = (load * LIMIT.ratePerSecond * STEP_MS) / 1_000 / CALLS_IN_PROGRAM;
  let programs: Program[] = [];
  let sequence = 0;
  let started = 0;
  let completed = 0;
  for (let now = 0; now < LENGTH_MS; now += STEP_MS) {
    if (now % REPORT_INTERVAL_MS === 0) {
      const request = {
        gateway: 'g',
        incarnation: '1',
        sequence: ++sequence,
        held: shares.held(now),
        isPartial: false,
      };
      shares.applyGrants(registry.report(request, now)!, now + LEASE_MS, now);
    }
    if (now >= WARM_UP_MS && random.chance(programsPerStep)) {
      started += 1;
      programs.push({ callsLeft: CALLS_IN_PROGRAM, retries: 0, dueAt: now });
    }
    for (const program of programs) {
      if (program.dueAt <= now) step(program, shares, now, distinguishesFirstCalls);
    }
    completed += programs.filter(({ callsLeft }) => callsLeft === 0).length;
    programs = programs.filter(({ callsLeft, retries }) => callsLeft > 0 && retries <= MAX_RETRIES);
  }
  const seconds = (LENGTH_MS - WARM_UP_MS) / 1_000;
  const sustainable = Math.min(started, (LIMIT.ratePerSecond * seconds) / CALLS_IN_PROGRAM);
  return { started, completed, sustainable };
}

function step(
  program: Program,
  shares: GatewayShares,
  now: number,
  distinguishesFirstCalls: boolean,
): void {
  const isFirst = distinguishesFirstCalls && program.callsLeft === CALLS_IN_PROGRAM;
  shares.noteCall(LIMIT.name, now);
  if (shares.take(LIMIT.name, isFirst, now)) {
    program.callsLeft -= 1;
    program.retries = 0;
    program.dueAt = now + PAUSE_MS;
    return;
  }
  program.retries += 1;
  program.dueAt = now + shares.retryAfterMs(LIMIT.name, now);
}
