/** Serves commands and linearizable reads for the groups led by this process. */
import { type MethodRouter, encodeValue } from '../wire/index.js';
import type { GroupHost } from './group-host.js';
import { EXECUTE, type GroupResponse, QUERY } from './group-messages.js';
import { createRejection } from './leader-refusal.js';
import type { ReplicatedGroup } from './replicated-group.js';

export interface GroupServiceHooks {
  /** Completes a command on the leader before replication, for example with a timestamp. */
  prepareCommand(group: ReplicatedGroup, body: Uint8Array): Uint8Array;
  /** Executes a query against the group's state. */
  answerQuery(group: ReplicatedGroup, body: Uint8Array): unknown;
}

export function registerGroupService(
  router: MethodRouter,
  host: GroupHost,
  hooks: GroupServiceHooks,
): void {
  router.handle(EXECUTE, ({ group: name, body }) =>
    executeAsLeader(host, name, (group) => group.propose(hooks.prepareCommand(group, body))),
  );
  router.handle(QUERY, ({ group: name, body }) =>
    executeAsLeader(host, name, async (group) => {
      await group.confirmLeadership();
      return hooks.answerQuery(group, body);
    }),
  );
}

async function executeAsLeader(
  host: GroupHost,
  name: string,
  work: (group: ReplicatedGroup) => Promise<unknown>,
): Promise<GroupResponse> {
  const group = host.find(name);
  if (!group) return { refusal: `no member of group ${name} in this process` };
  try {
    return { body: encodeValue(await work(group)) };
  } catch (error) {
    return createRejection(group, error);
  }
}
