/** Reads at the ledger's leader what a turn continues from, or says why that can't be had now. */
import { monotonicMs, sleep } from '../common/index.js';
import type { Member, ReplicatedGroup } from '../consensus/index.js';
import type { MissingHistory } from './messages.js';
import { type TurnHistoryStore, TurnValuesMissingError } from './turn-history-store.js';

/** A member that has not answered its leader for so long is asked for nothing, in milliseconds. */
export const MEMBER_CONTACT_TIMEOUT_MS = 500;
/** A member that answers is heard at least as often, in milliseconds: two heartbeats, and some for the way. */
const HEARD_INTERVAL_MS = 150;
const HEARD_CHECK_INTERVAL_MS = 10;

export interface LeaderHistory {
  history?: Uint8Array;
  missingHistory?: MissingHistory;
}

/** A member that does not answer is not asked: whoever waits for the leader would wait for it as well. */
export async function readHistoryAsLeader(
  group: ReplicatedGroup,
  histories: TurnHistoryStore,
  turn: string,
): Promise<LeaderHistory> {
  const askedAt = monotonicMs();
  const others = group.configuration.members.filter(({ id }) => id !== group.ownId);
  const asked = others.filter(
    ({ id }) => group.contactMsOf(id) >= askedAt - MEMBER_CONTACT_TIMEOUT_MS,
  );
  // What is heard later says nothing of those that were silent when they were asked, or not asked: they may be back.
  const heard = others.filter(({ id }) => group.contactMsOf(id) >= askedAt - HEARD_INTERVAL_MS);
  const silent = others.filter((member) => !heard.includes(member) && !isReplaced(member, heard));
  try {
    return { history: await histories.read(turn, asked) };
  } catch (error) {
    if (!(error instanceof TurnValuesMissingError)) throw error;
    if (silent.length === 0) silent.push(...(await membersNotHeardSince(askedAt, group, heard)));
    const silentMs = silenceOf(group, silent);
    return { missingHistory: { reason: error.message, silentMs } };
  }
}

/** A member that lost its disk comes back under another id; the values of the one before don't come back. */
function isReplaced(member: Member, heard: readonly Member[]): boolean {
  return heard.some(({ id, name }) => id !== member.id && name === member.name);
}

/** Returns as soon as all were heard. */
async function membersNotHeardSince(
  since: number,
  group: ReplicatedGroup,
  members: readonly Member[],
): Promise<readonly Member[]> {
  const endsAt = monotonicMs() + HEARD_INTERVAL_MS;
  const notHeard = (): Member[] => members.filter(({ id }) => group.contactMsOf(id) < since);
  while (notHeard().length > 0 && monotonicMs() < endsAt) await sleep(HEARD_CHECK_INTERVAL_MS);
  return notHeard();
}

/** How long the one that was heard last has been silent, in milliseconds; undefined when there are none. */
function silenceOf(group: ReplicatedGroup, silent: readonly Member[]): number | undefined {
  if (silent.length === 0) return undefined;
  const contacts = silent.map(({ id }) => group.contactMsOf(id));
  // What a leader before heard is not known here.
  return monotonicMs() - Math.max(group.leadingSince, ...contacts);
}
