/** Faults of processes: kills, suspensions and planned stops. */
import { sleep } from '../../../src/common/index.js';
import type { FleetProcess } from '../../fleet/fleet-process.js';
import type { ProcessKind } from '../../fleet/fleet-plan.js';
import { findLeader } from '../../fleet/cluster-status.js';
import type { Fault, FaultContext } from '../fault.js';

const SHORT_DOWNTIME_MS = [200, 1_500] as const;
/** Longer than the configuration lease and than an election. */
const FREEZE_MS = [2_300, 3_200] as const;
const LEADER_FREEZE_MS = [900, 2_500] as const;
const STOP_TIMEOUT_MS = 20_000;

export function pickProcess(context: FaultContext, kind: ProcessKind): FleetProcess {
  return context.random.pick(context.fleet.ofKind(kind));
}

/** Picks one of the consensus groups of the program journals. */
export function pickJournalGroup({ fleet, random }: FaultContext): string {
  const settings = fleet.ofKind('control')[0]!.plan.settings;
  const { journalGroups } = settings.cluster as { journalGroups: number };
  return `journal-${random.integer(0, journalGroups - 1)}`;
}

/** Picks the leader of a journal group; any control process if the group has no leader. */
export async function pickJournalLeader(context: FaultContext): Promise<FleetProcess> {
  const leader = await findLeader(context.fleet, pickJournalGroup(context));
  return leader === undefined ? pickProcess(context, 'control') : context.fleet.process(leader);
}

async function killAndRestart(
  process: FleetProcess,
  context: FaultContext,
  downtime: readonly [number, number],
): Promise<void> {
  await context.locks.runExclusive(process.name, async () => {
    await process.kill();
    await sleep(context.random.integer(...downtime));
    await process.start();
  });
}

async function freeze(
  process: FleetProcess,
  context: FaultContext,
  duration: readonly [number, number],
): Promise<void> {
  await context.locks.runExclusive(process.name, async () => {
    process.signal('SIGSTOP');
    await sleep(context.random.integer(...duration));
    process.signal('SIGCONT');
  });
}

function stopGracefully(process: FleetProcess, context: FaultContext): Promise<void> {
  return context.locks.runExclusive(process.name, () => stopAndRestart(process, context));
}

async function stopAndRestart(process: FleetProcess, context: FaultContext): Promise<void> {
  const { fleet, recorder } = context;
  const { kind } = process.plan;
  const signalledAtMs = Date.now();
  const exitCode = await process.stop(STOP_TIMEOUT_MS);
  const position = fleet.ofKind('gateway').indexOf(process);
  recorder.history.plannedStops.push({
    process: process.name,
    kind,
    address: fleet.plan.clientGateways[position],
    signalledAtMs,
    exitedAtMs: Date.now(),
    exitCode,
  });
  await process.start();
}

function killFault(name: string, kind: ProcessKind): Fault {
  return {
    name,
    family: 'process',
    run: (context) => killAndRestart(pickProcess(context, kind), context, SHORT_DOWNTIME_MS),
  };
}

function freezeFault(name: string, kind: ProcessKind): Fault {
  return {
    name,
    family: 'process',
    run: (context) => freeze(pickProcess(context, kind), context, FREEZE_MS),
  };
}

function plannedStop(name: string, kind: ProcessKind): Fault {
  return {
    name,
    family: 'process',
    run: (context) => stopGracefully(pickProcess(context, kind), context),
  };
}

const journalLeaderKill: Fault = {
  name: 'journal-leader-kill',
  family: 'process',
  run: async (context) =>
    killAndRestart(await pickJournalLeader(context), context, SHORT_DOWNTIME_MS),
};

const journalLeaderFreeze: Fault = {
  name: 'journal-leader-freeze',
  family: 'process',
  run: async (context) => freeze(await pickJournalLeader(context), context, LEADER_FREEZE_MS),
};

/** Kills a gateway and a journal leader concurrently. */
const gatewayAndLeaderKill: Fault = {
  name: 'gateway-and-leader-kill',
  family: 'process',
  async run(context) {
    const leader = await pickJournalLeader(context);
    const gateway = pickProcess(context, 'gateway');
    await Promise.all([
      killAndRestart(leader, context, SHORT_DOWNTIME_MS),
      killAndRestart(gateway, context, SHORT_DOWNTIME_MS),
    ]);
  },
};

export const PROCESS_FAULTS: readonly Fault[] = [
  killFault('gateway-kill', 'gateway'),
  freezeFault('gateway-freeze', 'gateway'),
  killFault('engine-kill', 'engine'),
  freezeFault('engine-freeze', 'engine'),
  killFault('service-kill', 'service'),
  journalLeaderKill,
  journalLeaderFreeze,
  gatewayAndLeaderKill,
];

export const PLANNED_STOPS: readonly Fault[] = [
  plannedStop('planned-stop-gateway', 'gateway'),
  plannedStop('planned-stop-control', 'control'),
  plannedStop('planned-stop-engine', 'engine'),
  plannedStop('planned-stop-service', 'service'),
];
