/** Histories of turns whose values are missing here and are fetched from other members. */
import { describe, expect, it } from 'vitest';
import { MemoryValues } from '../../tests/support/memory-values.js';
import { monotonicMs, sleep } from '../common/index.js';
import type { Member } from '../consensus/index.js';
import type { LogEntry } from '../log-store/index.js';
import { createLogger } from '../observability/index.js';
import { encodeValue } from '../wire/index.js';
import { LedgerStateMachine } from './ledger-state-machine.js';
import type { ReadTurnsRequest } from './messages.js';
import { TurnValuesMissingError } from './turn-history-store.js';

const RETENTION_MS = 60_000;
const CONFIGURATION = new Uint8Array(0);

/** Members in one process, which reach one another by their addresses. */
class Members {
  readonly values = new Map<string, MemoryValues>();
  readonly states = new Map<string, LedgerStateMachine>();
  readonly requests: { address: string; turns: number }[] = [];
  /** Whether members know which turns are over. @default those that are asked for a state do */
  tellsExpired: boolean | undefined;
  /** Members that are not reached after so many more requests. */
  readonly diesAfter = new Map<string, number>();

  add(address: string): LedgerStateMachine {
    const values = new MemoryValues();
    const state = new LedgerStateMachine({
      values,
      readTurnsAt: (peer, request) => this.read(peer, request),
      logger: createLogger({ test: address }),
    });
    this.values.set(address, values);
    this.states.set(address, state);
    return state;
  }

  get sources(): Member[] {
    return [...this.states.keys()].map((address) => {
      return { id: address, name: address, address, role: 'voter' };
    });
  }

  private async read(address: string, request: ReadTurnsRequest) {
    this.requests.push({ address, turns: request.turns.length });
    const left = this.diesAfter.get(address);
    if (left === 0) throw new Error(`${address} is gone`);
    if (left !== undefined) this.diesAfter.set(address, left - 1);
    const mayTell = this.tellsExpired ?? request.atIndex !== undefined;
    const answer = await this.states.get(address)!.external.answer(request, mayTell);
    return { ...answer, memberId: address };
  }
}

function keep(state: LedgerStateMachine, id: string, previousTurn?: string, nowMs = 0): void {
  const kept = {
    previousTurn,
    input: textOf(id),
    output: Buffer.from('|'),
    retentionMs: RETENTION_MS,
  };
  const settlement = { program: 'p', attempt: id, spentTokens: 0, keep: kept };
  state.apply(encodeValue({ kind: 'settle', settlements: [settlement], nowMs }));
}

function textOf(id: string): Buffer {
  return Buffer.from(`${id} says something of some length`);
}

function snapshotOf(state: LedgerStateMachine) {
  const bytes = Buffer.concat([...state.snapshot()]);
  return { index: 10, term: 1, configuration: CONFIGURATION, state: bytes };
}

describe('reading a history', () => {
  it('fetches a value that is missing here, once', async () => {
    const members = new Members();
    const [here, there] = [members.add('here'), members.add('there')];
    for (const state of [here, there]) {
      keep(state, 'a');
      keep(state, 'b', 'a');
    }
    members.values.get('here')!.delete('a');
    const others = members.sources.filter(({ id }) => id !== 'here');
    const expected = `${textOf('a')}|${textOf('b')}|`;
    expect((await here.external.read('b', others))?.toString()).toBe(expected);
    expect((await here.external.read('b', others))?.toString()).toBe(expected);
    expect(members.requests).toHaveLength(1);
  });

  it('fails, to be tried again, when no member has the value; a turn that is not kept is none', async () => {
    const members = new Members();
    const here = members.add('here');
    members.add('there');
    keep(here, 'a');
    members.values.get('here')!.delete('a');
    const error = await here.external.read('a', members.sources).catch((caught: unknown) => caught);
    expect(error).toBeInstanceOf(TurnValuesMissingError);
    expect((error as TurnValuesMissingError).retriable).toBe(true);
    expect(await here.external.read('never', members.sources)).toBeUndefined();
  });
});

describe('what a snapshot names', () => {
  it('comes in bounded answers, from the next member when one dies, without asking twice', async () => {
    const members = new Members();
    const leader = members.add('leader');
    const other = members.add('other');
    const large = 'x'.repeat(100_000);
    for (let turn = 0; turn < 30; turn += 1) {
      for (const state of [leader, other]) keep(state, `${turn}-${large}`);
    }
    members.diesAfter.set('leader', 2);
    const learner = members.add('learner');
    await learner.external.fetchMissing(snapshotOf(leader), members.sources.slice(0, 2));
    expect(members.values.get('learner')!.values.size).toBe(30);
    // Eight values fill an answer; what the first member gave is not asked of the second.
    const asked = members.requests.filter(({ address }) => address === 'other');
    expect(asked[0]!.turns).toBeLessThan(30);
    expect(members.requests.length).toBeGreaterThan(3);
    await learner.external.fetchMissing(snapshotOf(leader), members.sources);
    expect(members.requests.filter(({ address }) => address === 'other')).toEqual(asked);
  });

  it('keeps what came before the last member died, so that the next try goes on', async () => {
    const members = new Members();
    const leader = members.add('leader');
    const large = 'x'.repeat(300_000);
    for (let turn = 0; turn < 20; turn += 1) keep(leader, `${turn}-${large}`);
    members.diesAfter.set('leader', 1);
    const learner = members.add('learner');
    const [source] = members.sources;
    const snapshot = snapshotOf(leader);
    const first = learner.external.fetchMissing(snapshot, [source!]);
    await expect(first).rejects.toBeInstanceOf(TurnValuesMissingError);
    // Values are read by eight, and the first eight fill an answer.
    expect(members.values.get('learner')!.values.size).toBe(8);
    members.diesAfter.delete('leader');
    await learner.external.fetchMissing(snapshot, [source!]);
    expect(members.values.get('learner')!.values.size).toBe(20);
    expect(members.requests.map(({ turns }) => turns)).toEqual([20, 12, 12, 4]);
  });

  it('need not come when it is over by now at a member that is not behind', async () => {
    const members = new Members();
    const leader = members.add('leader');
    keep(leader, 'old');
    const snapshot = snapshotOf(leader);
    keep(leader, 'new', undefined, 3 * RETENTION_MS);
    expect(leader.turns.has('old')).toBe(false);
    const learner = members.add('learner');
    await learner.external.fetchMissing(snapshot, members.sources.slice(0, 1));
    expect(members.values.get('learner')!.values.size).toBe(0);
  });
});

/**
 * Values of a thousand turns were gone on both members that were left of three, and the member that came with an
 * empty disk asked them for the same thousand six times a second until the end. It was never taken in, so that one
 * more lost machine would have stopped the group, for turns that nobody could serve any more.
 *
 *     kept turns fetched: asked 8790, missing 6822   (each second)
 *     membership step: remove storage-3-second, add-learner storage-3-second
 */
describe('a value that is lost', () => {
  const VOTERS = ['first', 'second', 'third'];

  function votersThatKeep(members: Members, turns: readonly string[]): void {
    for (const voter of VOTERS) {
      const state = members.add(voter);
      for (const turn of turns) keep(state, turn);
    }
  }

  function lose(members: Members, turn: string, voters: readonly string[]): void {
    for (const voter of voters) members.values.get(voter)!.delete(turn);
  }

  /** A member with an empty disk takes the first voter's snapshot. */
  async function fetchAtNewMember(members: Members): Promise<MemoryValues> {
    const snapshot = snapshotOf(members.states.get(VOTERS[0]!)!);
    const sources = members.sources;
    const state = members.add('new');
    await state.external.fetchMissing(snapshot, sources);
    return members.values.get('new')!;
  }

  it('on more than half of the voters does not keep a new member out', async () => {
    const members = new Members();
    votersThatKeep(members, ['a', 'b']);
    lose(members, 'a', VOTERS);
    members.diesAfter.set('third', 0);
    const values = await fetchAtNewMember(members);
    expect([...values.values.keys()]).toEqual(['b']);
  });

  it('on half of them at most is waited for while the others do not answer', async () => {
    const members = new Members();
    votersThatKeep(members, ['a']);
    lose(members, 'a', ['first']);
    members.diesAfter.set('second', 0);
    members.diesAfter.set('third', 0);
    await expect(fetchAtNewMember(members)).rejects.toBeInstanceOf(TurnValuesMissingError);
  });

  it('is not said of voters whose state is older than the snapshot', async () => {
    const members = new Members();
    votersThatKeep(members, ['a']);
    lose(members, 'a', VOTERS);
    members.tellsExpired = false;
    await expect(fetchAtNewMember(members)).rejects.toBeInstanceOf(TurnValuesMissingError);
  });
});

describe('what log entries name', () => {
  const ENTRY_INDEX = 20;

  function entryNaming(...turns: string[]): LogEntry {
    const settlements = turns.map((attempt) => {
      return { program: 'p', attempt, spentTokens: 0, keep: { retentionMs: RETENTION_MS } };
    });
    const data = encodeValue({ kind: 'settle', settlements, nowMs: 0 });
    return { index: ENTRY_INDEX, term: 1, kind: 'command', data };
  }

  it('is waited for where copies are on their way, and not asked of others', async () => {
    const members = new Members();
    const follower = members.add('follower');
    members.add('leader');
    const obtained = follower.external.attach([entryNaming('a', 'b')], members.sources, true);
    await sleep(10);
    follower.external.storeCopy('a', textOf('a'));
    follower.external.storeCopy('b', textOf('b'));
    const [entry] = await obtained;
    expect(entry!.attachments).toEqual([textOf('a'), textOf('b')]);
    expect(members.requests).toEqual([]);
  });

  it('is fetched where no copy comes, once for all that wait for it', async () => {
    const members = new Members();
    const follower = members.add('follower');
    const leader = members.add('leader');
    await leader.external.storeValues(new Map([['a', textOf('a')]]));
    const sources = members.sources.filter(({ id }) => id === 'leader');
    const entries = [entryNaming('a')];
    const both = [1, 2].map(() => follower.external.attach(entries, sources, true));
    await Promise.all(both);
    expect(members.values.get('follower')!.has('a')).toBe(true);
    expect(members.requests).toHaveLength(1);
  });

  it('is not taken from gateways without a bound', async () => {
    const members = new Members();
    const follower = members.add('follower');
    const large = Buffer.alloc(1_000_000);
    for (let turn = 0; turn < 20; turn += 1) follower.external.storeCopy(`t${turn}`, large);
    expect(members.values.get('follower')!.values.size).toBe(5);
  });

  it('is asked for at once by a member that gets no copies', async () => {
    const members = new Members();
    const learner = members.add('learner');
    const voter = members.add('voter');
    await voter.external.storeValues(new Map([['a', textOf('a')]]));
    const startedAt = monotonicMs();
    await learner.external.attach([entryNaming('a')], members.sources, false);
    expect(monotonicMs() - startedAt).toBeLessThan(50);
  });

  it('must not be acknowledged when no member gives it', async () => {
    const members = new Members();
    members.tellsExpired = false;
    const follower = members.add('follower');
    members.add('leader');
    const obtained = follower.external.attach([entryNaming('a')], members.sources, false);
    await expect(obtained).rejects.toBeInstanceOf(TurnValuesMissingError);
  });

  it('is not needed when the turn is over by the state of a member that has applied the entry', async () => {
    const members = new Members();
    const follower = members.add('follower');
    members.add('voter');
    members.tellsExpired = true;
    await follower.external.attach([entryNaming('a')], members.sources.slice(1), false);
    expect(members.values.get('follower')!.has('a')).toBe(false);
  });

  it('comes back with the log at a start, and stays until the entry is applied', async () => {
    const members = new Members();
    const follower = members.add('follower');
    follower.restore(snapshotOf(members.add('other')).state);
    follower.external.noteLogged([{ ...entryNaming('a'), attachments: [textOf('a')] }]);
    keep(follower, 'late', undefined, 10 * RETENTION_MS);
    expect(members.values.get('follower')!.has('a')).toBe(true);
    const { data, index } = entryNaming('a');
    follower.apply(data, index);
    expect((await follower.external.read('a', []))?.toString()).toBe(textOf('a').toString());
  });
});
