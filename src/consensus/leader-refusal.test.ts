/**
 * A leader refused a command, since it had more than the group commits in time. Its client took that for a member that
 * does not lead: it forgot the leader, asked the others too, and told its caller what the last of them had said, "no
 * leader answered: not the leader", so that nobody could see from the log why the command was refused.
 */
import { describe, expect, it } from 'vitest';
import { describeError } from '../common/index.js';
import { defineMethod } from '../wire/index.js';
import { GroupOverloadedError, GroupUnavailableError } from './errors.js';
import { GroupClient } from './group-client.js';
import { type LeaderAnswer, answerAsLeader, callLeader } from './leader-calls.js';
import type { PeerCaller } from './peer-directory.js';
import type { ReplicatedGroup } from './replicated-group.js';

const GROUP = 'test-group';
const ASK = defineMethod<object, LeaderAnswer<string>>('test.ask');
const LEADER = 'member-1';
const MEMBERS = [LEADER, 'member-2', 'member-3'];
const LIMITS = { timeoutMs: 1_000, tryTimeoutMs: 250 };
/** When a leader that is overloaded for a while takes commands again, in milliseconds. */
const OVERLOAD_MS = 300;

/** Members of which the first leads, and refuses while it is overloaded. */
class Members implements PeerCaller {
  isOverloaded = true;
  leader = LEADER;
  readonly asked = new Map<string, number>();

  isConnected(): boolean {
    return true;
  }

  async call<_Request, Response>(address: string): Promise<Response> {
    this.asked.set(address, (this.asked.get(address) ?? 0) + 1);
    const isLeader = address === this.leader;
    const group = { isLeader, isCurrentLeader: isLeader, leaderAddress: this.leader };
    const response = await answerAsLeader(group as ReplicatedGroup, async () => {
      if (this.isOverloaded) throw new GroupOverloadedError(GROUP);
      return `done by ${address}`;
    });
    return response as Response;
  }
}

function ask(members: Members): Promise<string> {
  const client = new GroupClient({ peers: members, addresses: MEMBERS });
  return callLeader(client, GROUP, ASK, {}, LIMITS);
}

describe("a leader's refusal", () => {
  it('is what the caller is told, whatever other members say', async () => {
    const error = await ask(new Members()).catch((reason: unknown) => reason);
    expect(error).toBeInstanceOf(GroupUnavailableError);
    expect(describeError(error)).toContain(`${GROUP} is overloaded`);
    expect(describeError(error)).toContain(LEADER);
    expect(describeError(error)).not.toContain('no leader');
  });

  it('does not send the client to members that do not lead', async () => {
    const members = new Members();
    await ask(members).catch(() => undefined);
    expect(members.asked.get('member-2') ?? 0).toBeLessThanOrEqual(1);
    expect(members.asked.get('member-3') ?? 0).toBeLessThanOrEqual(1);
    expect(members.asked.get(LEADER)).toBeGreaterThan(1);
  });

  it('is over once the leader takes commands again', async () => {
    const members = new Members();
    setTimeout(() => (members.isOverloaded = false), OVERLOAD_MS);
    expect(await ask(members)).toBe(`done by ${LEADER}`);
  });

  it('holds no longer than its lead does', async () => {
    const members = new Members();
    setTimeout(() => (members.leader = 'member-3'), OVERLOAD_MS / 2);
    setTimeout(() => (members.isOverloaded = false), OVERLOAD_MS);
    expect(await ask(members)).toBe('done by member-3');
  });
});
