/**
 * A member came back, with the only copy of a history, while the leader was finding out who answers. It had not been
 * asked, since it was silent a moment before, and was taken for one that answers and lacks the history: the turn was
 * refused with "every member answers", a quarter of a second before it could have been served.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { monotonicMs, sleep } from '../common/index.js';
import type { Member, ReplicatedGroup } from '../consensus/index.js';
import { type LeaderHistory, readHistoryAsLeader } from './leader-history.js';
import { type TurnHistoryStore, TurnValuesMissingError } from './turn-history-store.js';

const HEARTBEAT_MS = 60;
const READ_MS = 5;
const REASON = '1 kept turns are held by no member that answered';

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function memberOf(name: string, id = name): Member {
  return { id, name, address: name, role: 'voter' };
}

/** A group whose leader is `m1`, and no member of which holds the history. */
class Group {
  readonly leadingSince = monotonicMs();
  readonly ownId = 'm1';
  readonly configuration = { members: [memberOf('m1'), memberOf('m2'), memberOf('m3')] };
  /** Members whose heartbeats are answered. */
  readonly answering = new Set(['m2', 'm3']);
  readonly asked: string[] = [];
  private readonly contacts = new Map<string, number>();

  constructor() {
    this.beat();
    setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  contactMsOf(id: string): number {
    return this.contacts.get(id) ?? Number.NEGATIVE_INFINITY;
  }

  async read(): Promise<LeaderHistory> {
    const read = async (_turn: string, sources: readonly Member[]): Promise<undefined> => {
      this.asked.push(...sources.map(({ id }) => id));
      await sleep(READ_MS);
      throw new TurnValuesMissingError(REASON, { step: 'test' });
    };
    const histories = { read } as unknown as TurnHistoryStore;
    const answer = readHistoryAsLeader(this as unknown as ReplicatedGroup, histories, 'turn');
    await vi.advanceTimersByTimeAsync(1_000);
    return answer;
  }

  private beat(): void {
    for (const id of this.answering) this.contacts.set(id, monotonicMs());
  }
}

async function groupAfter(ms: number): Promise<Group> {
  const group = new Group();
  await vi.advanceTimersByTimeAsync(ms);
  return group;
}

describe("a leader's answer on a history that is missing", () => {
  it('says that every member answers where each was asked and is heard', async () => {
    const group = await groupAfter(1_000);
    expect(await group.read()).toEqual({ missingHistory: { reason: REASON, silentMs: undefined } });
    expect(group.asked).toEqual(['m2', 'm3']);
  });

  it('says how long a member has been silent, and does not ask that one', async () => {
    const group = await groupAfter(1_000);
    group.answering.delete('m3');
    await vi.advanceTimersByTimeAsync(2_000);
    const { missingHistory } = await group.read();
    expect(missingHistory!.silentMs).toBeGreaterThanOrEqual(2_000);
    expect(missingHistory!.silentMs).toBeLessThan(2_000 + 4 * HEARTBEAT_MS);
    expect(group.asked).toEqual(['m2']);
  });

  it('counts a member as silent that has gone just now', async () => {
    const group = await groupAfter(1_000);
    group.answering.delete('m3');
    const { missingHistory } = await group.read();
    expect(missingHistory!.silentMs).toBeGreaterThan(0);
  });

  it.each([400, 2_000])(
    'counts a member as silent that comes back after %i ms, too late',
    async (ms) => {
      const group = await groupAfter(1_000);
      group.answering.delete('m3');
      await vi.advanceTimersByTimeAsync(ms);
      setTimeout(() => group.answering.add('m3'), 2 * READ_MS);
      const { missingHistory } = await group.read();
      expect(missingHistory!.silentMs).toBeGreaterThan(0);
    },
  );

  it('does not count the identity of a member that has come back without its disk', async () => {
    const group = await groupAfter(1_000);
    group.answering.delete('m3');
    await vi.advanceTimersByTimeAsync(2_000);
    group.configuration.members.push(memberOf('m3', 'm3-second'));
    group.answering.add('m3-second');
    await vi.advanceTimersByTimeAsync(HEARTBEAT_MS);
    expect((await group.read()).missingHistory!.silentMs).toBeUndefined();
  });
});
