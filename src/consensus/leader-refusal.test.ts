/**
 * Regression test: a client treated a rejection by an overloaded leader as a redirect, asked the
 * other members as well, and reported "no leader answered" instead of the rejection.
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
/** Time after which the leader accepts commands again, in milliseconds. */
const OVERLOAD_MS = 300;

/** Group members; the leader rejects requests while it is overloaded. */
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

describe("a leader's rejection", () => {
  it('is reported to the caller, whatever other members respond', async () => {
    const error = await ask(new Members()).catch((reason: unknown) => reason);
    expect(error).toBeInstanceOf(GroupUnavailableError);
    expect(describeError(error)).toContain(`${GROUP} is overloaded`);
    expect(describeError(error)).toContain(LEADER);
    expect(describeError(error)).not.toContain('no leader');
  });

  it('does not make the client ask members that do not lead', async () => {
    const members = new Members();
    await ask(members).catch(() => undefined);
    expect(members.asked.get('member-2') ?? 0).toBeLessThanOrEqual(1);
    expect(members.asked.get('member-3') ?? 0).toBeLessThanOrEqual(1);
    expect(members.asked.get(LEADER)).toBeGreaterThan(1);
  });

  it('ends when the leader accepts commands again', async () => {
    const members = new Members();
    setTimeout(() => (members.isOverloaded = false), OVERLOAD_MS);
    expect(await ask(members)).toBe(`done by ${LEADER}`);
  });

  it('is ignored after a change of leader', async () => {
    const members = new Members();
    setTimeout(() => (members.leader = 'member-3'), OVERLOAD_MS / 2);
    setTimeout(() => (members.isOverloaded = false), OVERLOAD_MS);
    expect(await ask(members)).toBe('done by member-3');
  });
});
