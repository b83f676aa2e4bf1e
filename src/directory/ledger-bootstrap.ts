/** When the first members of the ledger's group are chosen, and which. */
import { monotonicMs } from '../common/index.js';
import type { Member } from '../consensus/index.js';
import type { NodeAnnouncement } from './messages.js';

/** How long the founding waits for more journal processes than are needed, in milliseconds. */
const SETTLE_MS = 1_000;
/** How long it waits for as many journal processes as are wished, in milliseconds. */
const PATIENCE_MS = 6_000;

export class LedgerBootstrap {
  private firstJournalAt: number | undefined;

  /** @param targetVoters members that the group should have */
  constructor(private readonly targetVoters: number) {}

  /** A journal process has announced itself. */
  noteJournal(): void {
    this.firstJournalAt ??= monotonicMs();
  }

  /**
   * @param present journal processes heard lately
   * @returns the founders, or nothing while more processes are waited for
   */
  dueFounders(present: readonly NodeAnnouncement[]): Member[] | undefined {
    if (this.firstJournalAt === undefined) return undefined;
    const able = present.filter((node) => node.memberId !== undefined);
    const waitedMs = monotonicMs() - this.firstJournalAt;
    const isEnough = able.length >= this.targetVoters;
    if (waitedMs < (isEnough ? SETTLE_MS : PATIENCE_MS)) return undefined;
    return chooseFounders(able, this.targetVoters);
  }
}

/** Founders from as many zones as possible, in a stable order. */
function chooseFounders(nodes: readonly NodeAnnouncement[], wished: number): Member[] {
  const sorted = [...nodes].sort((left, right) => left.name.localeCompare(right.name));
  const chosen: NodeAnnouncement[] = [];
  while (chosen.length < Math.min(wished, sorted.length)) {
    const zones = new Set(chosen.map((node) => node.zone));
    const rest = sorted.filter((node) => !chosen.includes(node));
    chosen.push(rest.find((node) => !zones.has(node.zone)) ?? rest[0]!);
  }
  return chosen.map((node) => ({
    id: node.memberId!,
    name: node.name,
    address: node.address,
    role: 'voter',
  }));
}
