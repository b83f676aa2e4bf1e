/** Requests admission from the leader of each group until this member is a voter in all of them. */
import { sleep } from '../common/index.js';
import {
  type GroupClient,
  JOIN,
  type Member,
  type ReplicatedGroup,
  isVoter,
} from '../consensus/index.js';
import { type Logger } from '../observability/index.js';

const JOIN_INTERVAL_MS = 150;
const JOIN_TIMEOUT_MS = 2_000;

export interface JoinTaskOptions {
  groups: ReplicatedGroup[];
  member: Member;
  client: GroupClient;
  logger: Logger;
  signal: AbortSignal;
}

export async function joinGroups(options: JoinTaskOptions): Promise<void> {
  await Promise.all(options.groups.map((group) => joinGroup(group, options)));
  if (!options.signal.aborted) options.logger.info('voter in all groups', {});
}

async function joinGroup(group: ReplicatedGroup, options: JoinTaskOptions): Promise<void> {
  const { member, client, signal } = options;
  const request = { group: group.name, member };
  while (!signal.aborted && !isVoter(group.configuration, member.id)) {
    try {
      const limits = { timeoutMs: JOIN_TIMEOUT_MS };
      await client.callWithRedirect(
        group.name,
        JOIN,
        request,
        (response) =>
          response.leads
            ? { response: response.accepted }
            : { leaderAddress: response.leaderAddress, refusal: 'not the leader' },
        limits,
      );
    } catch {
      // Rejected for now (for example: not caught up) or no leader; retried after the interval.
    }
    await sleep(JOIN_INTERVAL_MS, signal);
  }
}
