/** A member's task that announces the member to the group's leader for as long as it runs. */
import { sleep } from '../common/index.js';
import {
  type GroupClient,
  type Member,
  findMember,
  type ReplicatedGroup,
} from '../consensus/index.js';
import { REQUEST_ADMISSION } from './messages.js';

/** A member only confirms that it still runs under its name and address. */
const MEMBER_INTERVAL_MS = 1_000;
const CANDIDATE_INTERVAL_MS = 150;
const ADMISSION_TIMEOUT_MS = 1_000;

export interface AdmissionTaskOptions {
  group: ReplicatedGroup;
  member: Member;
  client: GroupClient;
  signal: AbortSignal;
}

export async function runAdmissionTask(options: AdmissionTaskOptions): Promise<void> {
  const { group, member, client, signal } = options;
  while (!signal.aborted) {
    if (!group.isLeader) await requestAdmission(client, group.name, member);
    const isMember = findMember(group.configuration, member.id) !== undefined;
    await sleep(isMember ? MEMBER_INTERVAL_MS : CANDIDATE_INTERVAL_MS, signal);
  }
}

async function requestAdmission(client: GroupClient, group: string, member: Member): Promise<void> {
  try {
    await client.callWithRedirect(
      group,
      REQUEST_ADMISSION,
      { group, member },
      (response) =>
        response.leads
          ? { response: true }
          : { leaderAddress: response.leaderAddress, refusal: 'not the leader' },
      { timeoutMs: ADMISSION_TIMEOUT_MS },
    );
  } catch {
    // No leader at the moment; retried after the interval.
  }
}
