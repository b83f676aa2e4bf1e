/**
 * Sends values of kept turns from a gateway directly to the followers with a vote. The leader then replicates
 * only references, which saves its link one copy per follower.
 */
import type { PeerNotifier } from '../consensus/index.js';
import { encodeTurnValue } from './kept-turn-index.js';
import { type Settlement, hasInlineValue } from './ledger-commands.js';
import { LEDGER_GROUP } from './ledger-groups.js';
import { type CopyTargets, TAKE_COPY, type TakeCopyNotice } from './messages.js';

export class ValueCopySender {
  private targets: CopyTargets | undefined;

  /** @param group the ledger group whose followers get the copies */
  constructor(
    private readonly peers: PeerNotifier,
    private readonly group = LEDGER_GROUP,
  ) {}

  /** Version of the known targets; undefined if none are known yet. */
  get version(): string | undefined {
    return this.targets?.version;
  }

  updateTargets(targets: CopyTargets): void {
    this.targets = targets;
  }

  /**
   * Sends the value of a settlement, if it has one. Lost copies are fetched by the voter that lacks them.
   * @returns the version of the targets that the value was sent to; undefined if it was not sent
   */
  send({ attempt, keep }: Settlement): string | undefined {
    if (!this.targets || !keep || !hasInlineValue(keep)) return undefined;
    const copy = { group: this.group, turn: attempt, value: encodeTurnValue(keep) };
    sendCopy(this.peers, this.targets.addresses, copy);
    return this.targets.version;
  }
}

/** Sends a value to followers ahead of the entry that refers to it. */
export function sendCopy(
  peers: PeerNotifier,
  addresses: readonly string[],
  copy: TakeCopyNotice,
): void {
  for (const address of addresses) peers.notify(address, TAKE_COPY, copy);
}
