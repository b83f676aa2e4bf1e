/** Which change of members comes next, case by case. */
import { describe, expect, it } from 'vitest';
import type { Member, MemberRole } from '../consensus/index.js';
import { type VoterPlanInput, planMembershipStep } from './voter-plan.js';

function member(name: string, role: MemberRole = 'voter', id = `${name}-1`): Member {
  return { id, name, address: `${name}:1`, role };
}

function plan(members: Member[], overrides: Partial<VoterPlanInput> = {}) {
  return planMembershipStep({
    configuration: { members },
    ownId: 'a-1',
    targetVoters: 3,
    candidates: [],
    isReachable: () => true,
    isLost: () => false,
    isCaughtUp: () => true,
    isRetiring: () => false,
    ...overrides,
  });
}

const THREE = [member('a'), member('b'), member('c')];

describe('membership', () => {
  it('stays as it is while all is well', () => {
    expect(plan(THREE)).toBeUndefined();
    expect(plan([...THREE, member('d', 'learner')])).toBeUndefined();
  });

  it('takes a process that presents itself in as a learner', () => {
    const candidates = [{ member: member('d') }];
    expect(plan(THREE, { candidates })).toEqual({
      kind: 'add-learner',
      member: member('d', 'learner'),
    });
  });

  it('does not take in one that is to be emptied', () => {
    const candidates = [{ member: member('d') }];
    expect(plan(THREE, { candidates, isRetiring: (name) => name === 'd' })).toBeUndefined();
  });

  it('makes a learner a voter where voters are missing, once it holds the log', () => {
    const members = [member('a'), member('b'), member('c', 'learner')];
    expect(plan(members, { isCaughtUp: () => false })).toBeUndefined();
    expect(plan(members)).toEqual({ kind: 'promote', member: member('c') });
  });

  it('replaces a voter that does not answer: first the successor, then the removal', () => {
    const isReachable = (id: string): boolean => id !== 'b-1';
    const members = [...THREE, member('d', 'learner')];
    expect(plan(members, { isReachable })).toEqual({ kind: 'promote', member: member('d') });
    expect(plan([...THREE, member('d')], { isReachable })).toEqual({
      kind: 'remove',
      member: member('b'),
    });
  });

  it('keeps a silent voter while nobody could take its place', () => {
    expect(plan(THREE, { isReachable: (id) => id !== 'b-1' })).toBeUndefined();
  });

  it('replaces a voter whose machine came back empty by its new identity', () => {
    const fresh = member('b', 'learner', 'b-2');
    const candidates = [{ member: fresh }];
    expect(plan(THREE, { candidates })).toEqual({ kind: 'add-learner', member: fresh });
    expect(plan([...THREE, fresh], { candidates })).toEqual({
      kind: 'promote',
      member: { ...fresh, role: 'voter' },
    });
    expect(plan([...THREE, { ...fresh, role: 'voter' }], { candidates })).toEqual({
      kind: 'remove',
      member: member('b'),
    });
  });

  it('drops a learner that is lost, replaced or to be emptied', () => {
    const learner = member('d', 'learner');
    const members = [...THREE, learner];
    const removal = { kind: 'remove', member: learner };
    expect(plan(members, { isLost: (id) => id === 'd-1' })).toEqual(removal);
    expect(plan(members, { isRetiring: (name) => name === 'd' })).toEqual(removal);
    const candidates = [{ member: member('d', 'learner', 'd-2') }];
    expect(plan(members, { candidates })).toEqual(removal);
  });

  it('lets a retiring leader hand over before it is removed', () => {
    const isRetiring = (name: string): boolean => name === 'a';
    const members = [...THREE, member('d', 'learner')];
    expect(plan(members, { isRetiring })).toEqual({ kind: 'promote', member: member('d') });
    expect(plan([...THREE, member('d')], { isRetiring })).toEqual({ kind: 'hand-over' });
  });

  it('goes back to the wished number when a replaced voter turns up again', () => {
    const members = [...THREE, member('d')];
    expect(plan(members)).toEqual({ kind: 'remove', member: member('b') });
  });
});
