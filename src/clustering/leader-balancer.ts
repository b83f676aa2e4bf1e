/**
 * Spreads the leaders of a process's groups over machines: a process that leads at least two groups more than a voter of
 * one of them hands that group over to the voter. After failures, leaders would otherwise gather on the machines that
 * stayed, and share their processors.
 */
import { monotonicMs } from '../common/index.js';
import { type Member, type ReplicatedGroup, votersOf } from '../consensus/index.js';
import type { Logger } from '../observability/index.js';

const CHECK_INTERVAL_MS = 500;
/**
 * Time for which a group has one leader before it is handed over, in milliseconds: a new leader serves what has waited
 * first, and members that start together elect leaders in any order.
 */
const MIN_LEADING_MS = 2_000;
/** Smallest difference of led groups that a transfer reduces. */
const MIN_DIFFERENCE = 2;

/** A group of the process, and which of its voters could lead it. */
export interface BalancedGroup {
  group: ReplicatedGroup;
  canLead: (voter: Member) => boolean;
}

export interface LeaderBalancerOptions {
  groups: () => readonly BalancedGroup[];
  logger: Logger;
}

/** A group to hand over and the voter that shall lead it. */
interface Transfer {
  group: ReplicatedGroup;
  target: Member;
}

export class LeaderBalancer {
  private readonly timer: NodeJS.Timeout;
  private isBusy = false;

  constructor(private readonly options: LeaderBalancerOptions) {
    this.timer = setInterval(() => void this.balance(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async balance(): Promise<void> {
    if (this.isBusy) return;
    const transfer = planTransfer(this.options.groups());
    if (!transfer) return;
    this.isBusy = true;
    const { group, target } = transfer;
    this.options.logger.info('leadership handed over', { group: group.name, to: target.name });
    try {
      await group.transferLeadership(target.id);
    } finally {
      this.isBusy = false;
    }
  }
}

/** The next transfer of a group that this process leads, or undefined if none is needed. */
export function planTransfer(groups: readonly BalancedGroup[]): Transfer | undefined {
  const led = groups.filter(({ group }) => group.isCurrentLeader);
  if (led.length < MIN_DIFFERENCE) return undefined;
  const ledBy = countByLeader(groups);
  for (const { group, canLead } of led) {
    if (monotonicMs() - group.leadingSince < MIN_LEADING_MS || !group.isConfigurationSettled)
      continue;
    const [target] = votersOf(group.configuration)
      .filter((voter) => voter.id !== group.ownId && canLead(voter))
      .sort((left, right) => ledCount(ledBy, left) - ledCount(ledBy, right));
    if (target && led.length - ledCount(ledBy, target) >= MIN_DIFFERENCE) return { group, target };
  }
  return undefined;
}

/** Number of led groups by name of the leader; groups whose leader is unknown do not count. */
function countByLeader(groups: readonly BalancedGroup[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { group } of groups) {
    const { leaderName } = group;
    if (leaderName !== undefined) counts.set(leaderName, (counts.get(leaderName) ?? 0) + 1);
  }
  return counts;
}

function ledCount(counts: ReadonlyMap<string, number>, { name }: Member): number {
  return counts.get(name) ?? 0;
}
