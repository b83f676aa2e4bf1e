/**
 * Spreads the leaders of a process's groups over machines: a process that leads at least two groups more than a voter of
 * one of them hands that group over to the voter. After failures, leaders would otherwise gather on the machines that
 * stayed, and share their processors.
 */
import { describeError, monotonicMs } from '../common/index.js';
import { type Member, type ReplicatedGroup, startupRank, votersOf } from '../consensus/index.js';
import type { Logger } from '../observability/index.js';

const CHECK_INTERVAL_MS = 500;
/**
 * Time for which a group has one leader before it is handed over, in milliseconds: a new leader serves what has waited
 * first, and members that start together elect leaders in any order.
 */
const MIN_LEADING_MS = 2_000;
/**
 * Time between two transfers of one process, in milliseconds. Commands are rejected during a transfer, and a voter that
 * is too slow for one would be asked all the time.
 */
const TRANSFER_INTERVAL_MS = 10_000;
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
  private nextTransferAt = 0;

  constructor(private readonly options: LeaderBalancerOptions) {
    this.timer = setInterval(() => void this.balance(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async balance(): Promise<void> {
    if (monotonicMs() < this.nextTransferAt) return;
    const { groups, logger } = this.options;
    const transfer = planTransfer(groups());
    if (!transfer) return;
    this.nextTransferAt = monotonicMs() + TRANSFER_INTERVAL_MS;
    const { group, target } = transfer;
    const fields = { group: group.name, to: target.name };
    logger.info('leadership handed over', fields);
    try {
      const hasAgreed = await group.transferLeadership(target.id);
      if (!hasAgreed) logger.warn('leadership not taken', fields);
    } catch (error) {
      logger.warn('leadership not taken', { ...fields, reason: describeError(error) });
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
    const rankOf = ({ id }: Member): number => startupRank(group.configuration, id, group.name);
    // Groups prefer different voters, so that processes that hand over at the same time choose different ones.
    const [target] = votersOf(group.configuration)
      .filter((voter) => voter.id !== group.ownId && canLead(voter))
      .sort(
        (left, right) =>
          ledCount(ledBy, left) - ledCount(ledBy, right) || rankOf(left) - rankOf(right),
      );
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
