/** Turn histories whose values are missing and are fetched from other members. */
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

/** Members in one process that call each other directly. */
class Members {
  readonly values = new Map<string, MemoryValues>();
  readonly states = new Map<string, LedgerStateMachine>();
  readonly requests: { address: string; turns: number }[] = [];
  /** Whether members report expired turns. @default if the request contains a log index */
  reportsExpired: boolean | undefined;
  /** Number of further requests after which a member is unreachable. */
  readonly failsAfter = new Map<string, number>();

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
    const left = this.failsAfter.get(address);
    if (left === 0) throw new Error(`${address} is unreachable`);
    if (left !== undefined) this.failsAfter.set(address, left - 1);
    const isStateRecentEnough = this.reportsExpired ?? request.atIndex !== undefined;
    const answer = await this.states.get(address)!.external.answer(request, isStateRecentEnough);
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
  it('fetches a missing value once', async () => {
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

  it('fails with a retriable error if no member has the value, and returns undefined for unknown turns', async () => {
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

describe('values of turns in a snapshot', () => {
  it('are fetched in bounded responses, from the next member after a failure, without duplicate requests', async () => {
    const members = new Members();
    const leader = members.add('leader');
    const other = members.add('other');
    const large = 'x'.repeat(100_000);
    for (let turn = 0; turn < 30; turn += 1) {
      for (const state of [leader, other]) keep(state, `${turn}-${large}`);
    }
    members.failsAfter.set('leader', 2);
    const learner = members.add('learner');
    await learner.external.fetchMissing(snapshotOf(leader), members.sources.slice(0, 2));
    expect(members.values.get('learner')!.values.size).toBe(30);
    // Eight values fill a response. Values from the first member are not requested from the second.
    const asked = members.requests.filter(({ address }) => address === 'other');
    expect(asked[0]!.turns).toBeLessThan(30);
    expect(members.requests.length).toBeGreaterThan(3);
    await learner.external.fetchMissing(snapshotOf(leader), members.sources);
    expect(members.requests.filter(({ address }) => address === 'other')).toEqual(asked);
  });

  it('are kept if the last member fails, so that the next attempt resumes', async () => {
    const members = new Members();
    const leader = members.add('leader');
    const large = 'x'.repeat(300_000);
    for (let turn = 0; turn < 20; turn += 1) keep(leader, `${turn}-${large}`);
    members.failsAfter.set('leader', 1);
    const learner = members.add('learner');
    const [source] = members.sources;
    const snapshot = snapshotOf(leader);
    const first = learner.external.fetchMissing(snapshot, [source!]);
    await expect(first).rejects.toBeInstanceOf(TurnValuesMissingError);
    // Values are read in groups of eight, and the first group fills a response.
    expect(members.values.get('learner')!.values.size).toBe(8);
    members.failsAfter.delete('leader');
    await learner.external.fetchMissing(snapshot, [source!]);
    expect(members.values.get('learner')!.values.size).toBe(20);
    expect(members.requests.map(({ turns }) => turns)).toEqual([20, 12, 12, 4]);
  });

  it('are not required if their turns have expired at an up-to-date member', async () => {
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

/** Values that a majority has lost must not keep a new member from joining the group. */
describe('a lost value', () => {
  const VOTERS = ['first', 'second', 'third'];

  function addVoters(members: Members, turns: readonly string[]): void {
    for (const voter of VOTERS) {
      const state = members.add(voter);
      for (const turn of turns) keep(state, turn);
    }
  }

  function lose(members: Members, turn: string, voters: readonly string[]): void {
    for (const voter of voters) members.values.get(voter)!.delete(turn);
  }

  /** Restores the first voter's snapshot on a member with an empty disk. */
  async function fetchAtNewMember(members: Members): Promise<MemoryValues> {
    const snapshot = snapshotOf(members.states.get(VOTERS[0]!)!);
    const sources = members.sources;
    const state = members.add('new');
    await state.external.fetchMissing(snapshot, sources);
    return members.values.get('new')!;
  }

  it('does not keep a new member from joining if a majority of the voters has lost it', async () => {
    const members = new Members();
    addVoters(members, ['a', 'b']);
    lose(members, 'a', VOTERS);
    members.failsAfter.set('third', 0);
    const values = await fetchAtNewMember(members);
    expect([...values.values.keys()]).toEqual(['b']);
  });

  it('is required if no majority of the voters has lost it and the others are unreachable', async () => {
    const members = new Members();
    addVoters(members, ['a']);
    lose(members, 'a', ['first']);
    members.failsAfter.set('second', 0);
    members.failsAfter.set('third', 0);
    await expect(fetchAtNewMember(members)).rejects.toBeInstanceOf(TurnValuesMissingError);
  });

  it('is not reported by voters whose state is older than the snapshot', async () => {
    const members = new Members();
    addVoters(members, ['a']);
    lose(members, 'a', VOTERS);
    members.reportsExpired = false;
    await expect(fetchAtNewMember(members)).rejects.toBeInstanceOf(TurnValuesMissingError);
  });
});

describe('values that log entries refer to', () => {
  const ENTRY_INDEX = 20;

  function entryReferringTo(...turns: string[]): LogEntry {
    const settlements = turns.map((attempt) => {
      return { program: 'p', attempt, spentTokens: 0, keep: { retentionMs: RETENTION_MS } };
    });
    const data = encodeValue({ kind: 'settle', settlements, nowMs: 0 });
    return { index: ENTRY_INDEX, term: 1, kind: 'command', data };
  }

  it('are awaited while copies are expected, and not fetched', async () => {
    const members = new Members();
    const follower = members.add('follower');
    members.add('leader');
    const attached = follower.external.attach([entryReferringTo('a', 'b')], members.sources, true);
    await sleep(10);
    follower.external.storeCopy('a', textOf('a'));
    follower.external.storeCopy('b', textOf('b'));
    const [entry] = await attached;
    expect(entry!.attachments).toEqual([textOf('a'), textOf('b')]);
    expect(members.requests).toEqual([]);
  });

  it('are fetched once for all waiters if no copy arrives', async () => {
    const members = new Members();
    const follower = members.add('follower');
    const leader = members.add('leader');
    await leader.external.storeValues(new Map([['a', textOf('a')]]));
    const sources = members.sources.filter(({ id }) => id === 'leader');
    const entries = [entryReferringTo('a')];
    const both = [1, 2].map(() => follower.external.attach(entries, sources, true));
    await Promise.all(both);
    expect(members.values.get('follower')!.has('a')).toBe(true);
    expect(members.requests).toHaveLength(1);
  });

  it('are accepted from gateways up to a limit', async () => {
    const members = new Members();
    const follower = members.add('follower');
    const large = Buffer.alloc(1_000_000);
    for (let turn = 0; turn < 20; turn += 1) follower.external.storeCopy(`t${turn}`, large);
    expect(members.values.get('follower')!.values.size).toBe(5);
  });

  it('are fetched at once by a member that receives no copies', async () => {
    const members = new Members();
    const learner = members.add('learner');
    const voter = members.add('voter');
    await voter.external.storeValues(new Map([['a', textOf('a')]]));
    const startedAt = monotonicMs();
    await learner.external.attach([entryReferringTo('a')], members.sources, false);
    expect(monotonicMs() - startedAt).toBeLessThan(50);
  });

  it('prevent an acknowledgement if no member returns them', async () => {
    const members = new Members();
    members.reportsExpired = false;
    const follower = members.add('follower');
    members.add('leader');
    const attached = follower.external.attach([entryReferringTo('a')], members.sources, false);
    await expect(attached).rejects.toBeInstanceOf(TurnValuesMissingError);
  });

  it('are not required if the turn has expired at a member that has applied the entry', async () => {
    const members = new Members();
    const follower = members.add('follower');
    members.add('voter');
    members.reportsExpired = true;
    await follower.external.attach([entryReferringTo('a')], members.sources.slice(1), false);
    expect(members.values.get('follower')!.has('a')).toBe(false);
  });

  it('are restored from the log and retained until the entry is applied', async () => {
    const members = new Members();
    const follower = members.add('follower');
    follower.restore(snapshotOf(members.add('other')).state);
    follower.external.noteLogged([{ ...entryReferringTo('a'), attachments: [textOf('a')] }]);
    keep(follower, 'late', undefined, 10 * RETENTION_MS);
    expect(members.values.get('follower')!.has('a')).toBe(true);
    const { data, index } = entryReferringTo('a');
    follower.apply(data, index);
    expect((await follower.external.read('a', []))?.toString()).toBe(textOf('a').toString());
  });
});
