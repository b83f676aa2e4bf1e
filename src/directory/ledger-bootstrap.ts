/** Decides when the ledger is founded, with how many groups, and which nodes are their initial members. */
import { monotonicMs } from '../common/index.js';
import type { Member } from '../consensus/index.js';
import {
  type LedgerGroupFounders,
  MAX_LEDGER_GROUPS,
  ledgerGroupName,
} from '../ledger/ledger-groups.js';
import type { NodeAnnouncement } from './messages.js';

/** Time to wait for further journal processes once there are enough. */
const SETTLE_MS = 1_000;
/** Time to wait for the target number of journal processes. */
const BOOTSTRAP_TIMEOUT_MS = 6_000;
/**
 * Default number of journal processes for each group, and the most groups by default. Each process then leads one group
 * at most, and follows the others: with more groups, the work of following grows and each batch holds fewer commands.
 */
const JOURNALS_PER_GROUP = 2;
const MAX_DEFAULT_GROUPS = 4;

export class LedgerBootstrap {
  private firstJournalAt: number | undefined;

  /**
   * @param targetVoters target number of members of a group
   * @param groupCount number of groups; undefined to choose it by the number of journal processes
   */
  constructor(
    private readonly targetVoters: number,
    private readonly groupCount?: number,
  ) {}

  /** Records that a journal process has announced itself. */
  recordJournal(): void {
    this.firstJournalAt ??= monotonicMs();
  }

  /**
   * @param present journal processes that announced themselves recently
   * @returns the groups with their initial members, or undefined while waiting for more processes
   */
  dueGroups(
    present: readonly NodeAnnouncement[],
  ): [LedgerGroupFounders, ...LedgerGroupFounders[]] | undefined {
    if (this.firstJournalAt === undefined) return undefined;
    const eligible = present.filter((node) => node.memberId !== undefined);
    const waitedMs = monotonicMs() - this.firstJournalAt;
    const isEnough = eligible.length >= this.targetVoters;
    if (waitedMs < (isEnough ? SETTLE_MS : BOOTSTRAP_TIMEOUT_MS)) return undefined;
    const count = this.groupCount ?? defaultGroupCount(eligible.length);
    const foundGroup = (index: number): LedgerGroupFounders => ({
      name: ledgerGroupName(index),
      founders: chooseFounders(eligible, this.targetVoters, index),
    });
    const further = Math.min(count, MAX_LEDGER_GROUPS) - 1;
    return [foundGroup(0), ...Array.from({ length: further }, (_, index) => foundGroup(index + 1))];
  }
}

function defaultGroupCount(journals: number): number {
  const affordable = Math.floor(journals / JOURNALS_PER_GROUP);
  return Math.max(1, Math.min(MAX_DEFAULT_GROUPS, affordable));
}

/**
 * Chooses founders from as many zones as possible, in a deterministic order.
 * @param groupIndex groups begin at different nodes, so that their voters and leaders are spread
 */
function chooseFounders(
  nodes: readonly NodeAnnouncement[],
  target: number,
  groupIndex: number,
): Member[] {
  const byName = [...nodes].sort((left, right) => left.name.localeCompare(right.name));
  const start = (groupIndex * JOURNALS_PER_GROUP) % Math.max(1, byName.length);
  const ordered = [...byName.slice(start), ...byName.slice(0, start)];
  const chosen: NodeAnnouncement[] = [];
  while (chosen.length < Math.min(target, ordered.length)) {
    const zones = new Set(chosen.map((node) => node.zone));
    const remaining = ordered.filter((node) => !chosen.includes(node));
    chosen.push(remaining.find((node) => !zones.has(node.zone)) ?? remaining[0]!);
  }
  return chosen.map((node) => ({
    id: node.memberId!,
    name: node.name,
    address: node.address,
    role: 'voter',
  }));
}
