/** Programs of one tenant at one gateway beside a leader, on simulated time: how many come to their end. */
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
const ASK_EVERY_MS = 200;
const LEASE_MS = 3_500;
/** A call that is refused comes back so often at most, when it was told to. */
const MAX_RETURNS = 3;

interface Program {
  callsLeft: number;
  returns: number;
  dueAt: number;
}

export interface ProgramsOutcome {
  started: number;
  completed: number;
  /** Programs that the limit bears. */
  sustainable: number;
}

/**
 * @param load calls of all programs that come, as a multiple of the limit
 * @param tellsFirstCalls whether first calls are told apart
 */
export function runPrograms(load: number, tellsFirstCalls = true): ProgramsOutcome {
  const random = new SeededRandom(4);
  const shares = new GatewayShares();
  const board = new ShareRegistry({
    tolerance: TOLERANCE,
    leaseMs: LEASE_MS,
    overlapMs: 0,
    mayShare: () => true,
  });
  board.begin({ gateways: [], tenants: [] }, 0);
  board.setLimits([LIMIT], 0);
  const programsPerStep = (load * LIMIT.ratePerSecond * STEP_MS) / 1_000 / CALLS_IN_PROGRAM;
  let programs: Program[] = [];
  let sequence = 0;
  let started = 0;
  let completed = 0;
  for (let now = 0; now < LENGTH_MS; now += STEP_MS) {
    if (now % ASK_EVERY_MS === 0) {
      const request = {
        gateway: 'g',
        incarnation: '1',
        sequence: ++sequence,
        held: shares.held(now),
        isPartial: false,
      };
      shares.applyGrants(board.report(request, now)!, now + LEASE_MS, now);
    }
    if (now >= WARM_UP_MS && random.chance(programsPerStep)) {
      started += 1;
      programs.push({ callsLeft: CALLS_IN_PROGRAM, returns: 0, dueAt: now });
    }
    for (const program of programs) {
      if (program.dueAt <= now) step(program, shares, now, tellsFirstCalls);
    }
    completed += programs.filter(({ callsLeft }) => callsLeft === 0).length;
    programs = programs.filter(({ callsLeft, returns }) => callsLeft > 0 && returns <= MAX_RETURNS);
  }
  const seconds = (LENGTH_MS - WARM_UP_MS) / 1_000;
  const sustainable = Math.min(started, (LIMIT.ratePerSecond * seconds) / CALLS_IN_PROGRAM);
  return { started, completed, sustainable };
}

function step(
  program: Program,
  shares: GatewayShares,
  now: number,
  tellsFirstCalls: boolean,
): void {
  const isFirst = tellsFirstCalls && program.callsLeft === CALLS_IN_PROGRAM;
  shares.noteCall(LIMIT.name, now);
  if (shares.take(LIMIT.name, isFirst, now)) {
    program.callsLeft -= 1;
    program.returns = 0;
    program.dueAt = now + PAUSE_MS;
    return;
  }
  program.returns += 1;
  program.dueAt = now + shares.retryAfterMs(LIMIT.name, now);
}
