/** Calls of typed methods that only the leader of a group answers: both sides of them. */
import type { Method } from '../wire/index.js';
import type { GroupCallOptions, GroupClient } from './group-client.js';
import { type Rejection, createRejection } from './leader-refusal.js';
import { rejectionResult } from './open-tries.js';
import type { ReplicatedGroup } from './replicated-group.js';

/** The leader's answer, or where the leader may be. */
export interface LeaderAnswer<Answer> extends Rejection {
  answer?: Answer;
}

/**
 * Calls a method at the group's leader.
 * @throws LeaderRefusedError when the leader refused it until the time was over
 * @throws GroupUnavailableError when no leader answered in time; the call may have had its effect
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

/** Runs `work` on the leader; anything else is answered with where the leader may be. */
export async function answerAsLeader<Answer>(
  group: ReplicatedGroup | undefined,
  work: (group: ReplicatedGroup) => Promise<Answer>,
): Promise<LeaderAnswer<Answer>> {
  if (!group) return { refusal: 'not started' };
  if (!group.isLeader) return { leaderAddress: group.leaderAddress, refusal: 'not the leader' };
  if (!group.isCurrentLeader) return { refusal: 'leading, but not current yet' };
  try {
    return { answer: await work(group) };
  } catch (error) {
    return createRejection(group, error);
  }
}
