/** Spreading the leaders of several groups over machines. */
import { describe, expect, it, onTestFinished, vi } from 'vitest';
import { simulateTime } from '../../tests/support/simulated-time.js';
import { monotonicMs, sleep } from '../common/index.js';
import type { Member, ReplicatedGroup } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import { type BalancedGroup, LeaderBalancer, planTransfer } from './leader-balancer.js';

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
  /** Name of the process's machine. @default OWN */
  own?: string;
  transferLeadership?: () => Promise<boolean>;
}

function groupOf(state: GroupState): BalancedGroup {
  const { name, leader, voters, leadingForMs, unable, own = OWN, transferLeadership } = state;
  const group = {
    name,
    ownId: `${own}-id`,
    isCurrentLeader: leader === own,
    transferLeadership,
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

  /** Both would otherwise make one machine the leader of two groups, and one of the transfers would fail. */
  it('does not choose the voter that another process chooses at the same time', () => {
    const voters = [OWN, 'machine-2', 'machine-3', 'machine-4', 'machine-5'];
    const led = (name: string, leader: string): GroupState => ({ name, leader, voters });
    const states = [
      led('ledger', OWN),
      led('ledger-3', OWN),
      led('ledger-4', 'machine-2'),
      led('ledger-5', 'machine-2'),
    ];
    const targetOf = (own: string): string | undefined =>
      planTransfer(states.map((state) => groupOf({ ...state, own })))?.target.name;
    expect(targetOf(OWN)).not.toBe(targetOf('machine-2'));
  });

  /** Commands are rejected during a transfer, so that a voter that is too slow for it must not be asked all the time. */
  it.each(['fails', 'throws'])('does not repeat a transfer that %s at once', async (ending) => {
    simulateTime(1);
    const transferLeadership = vi.fn(() =>
      ending === 'fails' ? Promise.resolve(false) : Promise.reject(new Error('link is down')),
    );
    const groups = ['a', 'b'].map((name) =>
      groupOf({ name, leader: OWN, voters: ALL, transferLeadership }),
    );
    const logger = createLogger({ test: 'leader-balancer' });
    const balancer = new LeaderBalancer({ groups: () => groups, logger });
    onTestFinished(() => balancer.stop());
    await sleep(3_000);
    expect(transferLeadership).toHaveBeenCalledTimes(1);
    await sleep(10_000);
    expect(transferLeadership.mock.calls.length).toBeGreaterThan(1);
  });
});
