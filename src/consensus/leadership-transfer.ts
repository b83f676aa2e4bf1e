/** Transfers leadership to another voter: to the most up-to-date one before a planned stop, or to a certain one. */
import { monotonicMs, sleep } from '../common/index.js';
import { votersOf } from './configuration.js';
import { TRANSFER } from './messages.js';
import type { ReplicatedGroup } from './replicated-group.js';
import type { Replicator } from './replicator.js';

const TRANSFER_WAIT_MS = 700;
const TRANSFER_POLL_MS = 20;
const TRANSFER_CALL_TIMEOUT_MS = 500;

/**
 * @param preferredId the voter that shall lead; undefined for the most up-to-date one
 * @returns whether an up-to-date follower has agreed to start an election, or this member no longer
 *   leads
 */
export async function transferLeadership(
  group: ReplicatedGroup,
  replicators: ReadonlyMap<string, Replicator>,
  preferredId?: string,
): Promise<boolean> {
  const deadline = monotonicMs() + TRANSFER_WAIT_MS;
  while (group.isLeader && monotonicMs() < deadline) {
    const target =
      preferredId === undefined
        ? mostUpToDateFollower(group, replicators)
        : replicators.get(preferredId);
    const isCaughtUp = target !== undefined && target.matchIndex >= group.log.lastIndex;
    if (isCaughtUp && (await requestElection(group, target))) return true;
    await sleep(TRANSFER_POLL_MS);
  }
  return !group.isLeader;
}

function mostUpToDateFollower(
  group: ReplicatedGroup,
  replicators: ReadonlyMap<string, Replicator>,
): Replicator | undefined {
  return votersOf(group.configuration)
    .filter((voter) => voter.id !== group.ownId)
    .map((voter) => replicators.get(voter.id))
    .filter((replicator) => replicator !== undefined)
    .sort((left, right) => right.matchIndex - left.matchIndex)
    .at(0);
}

async function requestElection(group: ReplicatedGroup, { member }: Replicator): Promise<boolean> {
  const request = { group: group.name, to: member.id, from: group.ownId, term: group.term };
  try {
    return await group.call(member, TRANSFER, request, { timeoutMs: TRANSFER_CALL_TIMEOUT_MS });
  } catch {
    return false;
  }
}
