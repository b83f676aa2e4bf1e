/** The next membership change in each situation. */
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
  it('stays unchanged while all voters are healthy', () => {
    expect(plan(THREE)).toBeUndefined();
    expect(plan([...THREE, member('d', 'learner')])).toBeUndefined();
  });

  it('admits a process that announces itself as a learner', () => {
    const candidates = [{ member: member('d') }];
    expect(plan(THREE, { candidates })).toEqual({
      kind: 'add-learner',
      member: member('d', 'learner'),
    });
  });

  it('does not admit a process on a retiring machine', () => {
    const candidates = [{ member: member('d') }];
    expect(plan(THREE, { candidates, isRetiring: (name) => name === 'd' })).toBeUndefined();
  });

  it('promotes a learner that has caught up if voters are missing', () => {
    const members = [member('a'), member('b'), member('c', 'learner')];
    expect(plan(members, { isCaughtUp: () => false })).toBeUndefined();
    expect(plan(members)).toEqual({ kind: 'promote', member: member('c') });
  });

  it('replaces an unreachable voter: promotes the successor, then removes the voter', () => {
    const isReachable = (id: string): boolean => id !== 'b-1';
    const members = [...THREE, member('d', 'learner')];
    expect(plan(members, { isReachable })).toEqual({ kind: 'promote', member: member('d') });
    expect(plan([...THREE, member('d')], { isReachable })).toEqual({
      kind: 'remove',
      member: member('b'),
    });
  });

  it('keeps an unreachable voter while there is no successor', () => {
    expect(plan(THREE, { isReachable: (id) => id !== 'b-1' })).toBeUndefined();
  });

  it('replaces a voter that lost its disk by the new identity on its machine', () => {
    const renewed = member('b', 'learner', 'b-2');
    const candidates = [{ member: renewed }];
    expect(plan(THREE, { candidates })).toEqual({ kind: 'add-learner', member: renewed });
    expect(plan([...THREE, renewed], { candidates })).toEqual({
      kind: 'promote',
      member: { ...renewed, role: 'voter' },
    });
    expect(plan([...THREE, { ...renewed, role: 'voter' }], { candidates })).toEqual({
      kind: 'remove',
      member: member('b'),
    });
  });

  it('removes a learner that is lost, replaced or retiring', () => {
    const learner = member('d', 'learner');
    const members = [...THREE, learner];
    const removal = { kind: 'remove', member: learner };
    expect(plan(members, { isLost: (id) => id === 'd-1' })).toEqual(removal);
    expect(plan(members, { isRetiring: (name) => name === 'd' })).toEqual(removal);
    const candidates = [{ member: member('d', 'learner', 'd-2') }];
    expect(plan(members, { candidates })).toEqual(removal);
  });

  it('transfers the leadership of a retiring leader before removing it', () => {
    const isRetiring = (name: string): boolean => name === 'a';
    const members = [...THREE, member('d', 'learner')];
    expect(plan(members, { isRetiring })).toEqual({ kind: 'promote', member: member('d') });
    expect(plan([...THREE, member('d')], { isRetiring })).toEqual({ kind: 'hand-over' });
  });

  it('removes a surplus voter when a replaced one is reachable again', () => {
    const members = [...THREE, member('d')];
    expect(plan(members)).toEqual({ kind: 'remove', member: member('b') });
  });
});
