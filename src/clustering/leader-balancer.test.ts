/** Spreading the leaders of several groups over machines. */
import { describe, expect, it } from 'vitest';
import { monotonicMs } from '../common/index.js';
import type { Member, ReplicatedGroup } from '../consensus/index.js';
import { type BalancedGroup, planTransfer } from './leader-balancer.js';

const OWN = 'machine-1';
const LONG_AGO_MS = 10_000;

function memberOn(name: string): Member {
  return { id: `${name}-id`, name, address: name, role: 'voter' };
}

interface GroupState {
  name: string;
  leader: string | undefined;
  voters: string[];
  leadingForMs?: number;
  /** Voters that could not lead now. */
  unable?: string[];
}

function groupOf({ name, leader, voters, leadingForMs, unable }: GroupState): BalancedGroup {
  const group = {
    name,
    ownId: `${OWN}-id`,
    isCurrentLeader: leader === OWN,
    isConfigurationSettled: true,
    leaderName: leader,
    leadingSince: monotonicMs() - (leadingForMs ?? LONG_AGO_MS),
    configuration: { members: voters.map(memberOn) },
  };
  return {
    group: group as unknown as ReplicatedGroup,
    canLead: (voter) => !unable?.includes(voter.name),
  };
}

const ALL = [OWN, 'machine-2', 'machine-3'];

function planned(states: GroupState[]): string | undefined {
  const transfer = planTransfer(states.map(groupOf));
  return transfer && `${transfer.group.name} to ${transfer.target.name}`;
}

describe('a process that leads several groups', () => {
  it('hands one over to the voter that leads the fewest', () => {
    const states = [
      { name: 'a', leader: OWN, voters: ALL },
      { name: 'b', leader: OWN, voters: ALL },
      { name: 'c', leader: 'machine-2', voters: ALL },
    ];
    expect(planned(states)).toBe('a to machine-3');
  });

  it('keeps them if every voter would then lead as many', () => {
    const states = [
      { name: 'a', leader: OWN, voters: ALL },
      { name: 'b', leader: OWN, voters: ALL },
      { name: 'c', leader: 'machine-2', voters: ALL },
      { name: 'd', leader: 'machine-3', voters: ALL },
    ];
    expect(planned(states)).toBeUndefined();
  });

  it('hands over none to a voter that could not lead', () => {
    const unable = ['machine-2', 'machine-3'];
    const states = ['a', 'b'].map((name) => ({ name, leader: OWN, voters: ALL, unable }));
    expect(planned(states)).toBeUndefined();
  });

  it('hands over none that it has just begun to lead', () => {
    const states = ['a', 'b'].map((name) => ({
      name,
      leader: OWN,
      voters: ALL,
      leadingForMs: 100,
    }));
    expect(planned(states)).toBeUndefined();
  });

  it('hands over the group whose voters include a free machine', () => {
    const states = [
      { name: 'a', leader: OWN, voters: [OWN, 'machine-2'] },
      { name: 'b', leader: OWN, voters: [OWN, 'machine-3'] },
      { name: 'c', leader: 'machine-2', voters: ALL },
    ];
    expect(planned(states)).toBe('b to machine-3');
  });
});
