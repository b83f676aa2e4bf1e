/** Reads the status of each control process of a fleet. */
import { request } from 'undici';
import { groupBy } from '../../src/common/index.js';
import type { GroupStatus, SystemStatus } from '../../src/operators/index.js';
import type { FleetProcess } from './fleet-process.js';
import { type Fleet, FleetError } from './fleet.js';

const REQUEST_TIMEOUT_MS = 1_500;
/** Entries by which a member may lag behind under load. */
const MAX_REPLICATION_LAG = 64;

export interface MemberStatus {
  process: string;
  groups: GroupStatus[];
}

/** Reads the status of all control processes; omits those that do not respond. */
export async function readMemberStatuses(fleet: Fleet): Promise<MemberStatus[]> {
  const views = await Promise.all(
    fleet
      .ofKind('control')
      .map((control) => readMemberStatus(fleet, control).catch(() => undefined)),
  );
  return views.filter((view) => view !== undefined);
}

async function readMemberStatus(
  fleet: Fleet,
  control: FleetProcess,
): Promise<MemberStatus | undefined> {
  if (!control.isRunning) return undefined;
  const response = await request(`http://${control.plan.operatorAddress}/v1/status`, {
    headers: { authorization: `Bearer ${fleet.plan.operatorKey}` },
    headersTimeout: REQUEST_TIMEOUT_MS,
    bodyTimeout: REQUEST_TIMEOUT_MS,
  });
  const body = (await response.body.json()) as SystemStatus;
  if (response.statusCode !== 200) return undefined;
  return { process: control.name, groups: body.groups };
}

/** Returns the name of the process that leads a group; undefined if there is none. */
export async function findLeader(fleet: Fleet, group: string): Promise<string | undefined> {
  const views = await readMemberStatuses(fleet);
  const leaders = views
    .flatMap((view) => view.groups.map((status) => ({ process: view.process, status })))
    .filter(({ status }) => status.group === group && status.state === 'leader')
    .sort((left, right) => right.status.term - left.status.term);
  return leaders[0]?.process;
}

/** Resolves when each group has one leader and all its members are up-to-date voters. */
export async function waitUntilFullyReplicated(fleet: Fleet, timeoutMs: number): Promise<void> {
  await fleet.waitFor(
    'full replication',
    async () => {
      const problem = await findReplicationProblem(fleet);
      if (problem === undefined) return true;
      throw new FleetError(problem, { step: 'cluster.view' });
    },
    timeoutMs,
  );
}

async function findReplicationProblem(fleet: Fleet): Promise<string | undefined> {
  const views = await readMemberStatuses(fleet);
  const count = fleet.ofKind('control').length;
  if (views.length < count) return `${views.length} of ${count} members respond`;
  const byGroup = groupBy(
    views.flatMap((view) => view.groups),
    (status) => status.group,
  );
  const incomplete = [...byGroup.values()].find((statuses) => !isGroupComplete(statuses, count));
  return incomplete && `group not fully replicated: ${JSON.stringify(incomplete)}`;
}

function isGroupComplete(statuses: GroupStatus[], count: number): boolean {
  if (statuses.length < count) return false;
  const members = statuses.map((status) => status.member);
  const commitIndex = Math.max(...statuses.map((status) => status.commitIndex));
  const hasLeader = statuses.filter((status) => status.state === 'leader').length === 1;
  return (
    hasLeader &&
    statuses.every(
      ({ voters, learners, appliedIndex }) =>
        learners.length === 0 &&
        voters.length === count &&
        members.every((member) => voters.includes(member)) &&
        appliedIndex >= commitIndex - MAX_REPLICATION_LAG,
    )
  );
}
