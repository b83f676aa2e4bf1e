/** Client and server side of typed methods that only the leader of a group serves. */
import type { Method } from '../wire/index.js';
import type { GroupCallOptions, GroupClient } from './group-client.js';
import { type Rejection, createRejection } from './leader-refusal.js';
import { rejectionResult } from './open-tries.js';
import type { ReplicatedGroup } from './replicated-group.js';

/** The leader's response, or a rejection with the known leader address. */
export interface LeaderAnswer<Answer> extends Rejection {
  answer?: Answer;
}

/**
 * Calls a method on the group's leader.
 * @throws LeaderRefusedError if the leader rejected the request until the timeout
 * @throws GroupUnavailableError when no leader answered in time; the call may have taken effect
 */
export function callLeader<Request, Answer>(
  client: GroupClient,
  group: string,
  method: Method<Request, LeaderAnswer<Answer>>,
  request: Request,
  options: GroupCallOptions,
): Promise<Answer> {
  return client.callWithRedirect<Request, LeaderAnswer<Answer>, Answer>(
    group,
    method,
    request,
    (response) =>
      response.answer === undefined ? rejectionResult(response) : { response: response.answer },
    options,
  );
}

/** Runs `work` if this member is the leader, and responds with a rejection otherwise. */
export async function answerAsLeader<Answer>(
  group: ReplicatedGroup | undefined,
  work: (group: ReplicatedGroup) => Promise<Answer>,
): Promise<LeaderAnswer<Answer>> {
  if (!group) return { refusal: 'group is not started on this member' };
  if (!group.isLeader) return { leaderAddress: group.leaderAddress, refusal: 'not the leader' };
  if (!group.isCurrentLeader)
    return { refusal: 'leader has not applied all committed entries yet' };
  try {
    return { answer: await work(group) };
  } catch (error) {
    return createRejection(group, error);
  }
}
