/** Decides when the ledger group is bootstrapped and which nodes are its initial members. */
import { monotonicMs } from '../common/index.js';
import type { Member } from '../consensus/index.js';
import type { NodeAnnouncement } from './messages.js';

/** Time to wait for further journal processes once there are enough. */
const SETTLE_MS = 1_000;
/** Time to wait for the target number of journal processes. */
const BOOTSTRAP_TIMEOUT_MS = 6_000;

export class LedgerBootstrap {
  private firstJournalAt: number | undefined;

  /** @param targetVoters target number of members */
  constructor(private readonly targetVoters: number) {}

  /** Records that a journal process has announced itself. */
  recordJournal(): void {
    this.firstJournalAt ??= monotonicMs();
  }

  /**
   * @param present journal processes that announced themselves recently
   * @returns the initial members, or undefined while waiting for more processes
   */
  dueFounders(present: readonly NodeAnnouncement[]): Member[] | undefined {
    if (this.firstJournalAt === undefined) return undefined;
    const eligible = present.filter((node) => node.memberId !== undefined);
    const waitedMs = monotonicMs() - this.firstJournalAt;
    const isEnough = eligible.length >= this.targetVoters;
    if (waitedMs < (isEnough ? SETTLE_MS : BOOTSTRAP_TIMEOUT_MS)) return undefined;
    return chooseFounders(eligible, this.targetVoters);
  }
}

/** Chooses founders from as many zones as possible, in a deterministic order. */
function chooseFounders(nodes: readonly NodeAnnouncement[], target: number): Member[] {
  const sorted = [...nodes].sort((left, right) => left.name.localeCompare(right.name));
  const chosen: NodeAnnouncement[] = [];
  while (chosen.length < Math.min(target, sorted.length)) {
    const zones = new Set(chosen.map((node) => node.zone));
    const remaining = sorted.filter((node) => !chosen.includes(node));
    chosen.push(remaining.find((node) => !zones.has(node.zone)) ?? remaining[0]!);
  }
  return chosen.map((node) => ({
    id: node.memberId!,
    name: node.name,
    address: node.address,
    role: 'voter',
  }));
}
