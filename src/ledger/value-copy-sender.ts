/**
 * Sends values of kept turns from a gateway to the voters that follow the ledger's leader, which then only
 * names them in its log: its link carries each once, in place of once for every voter.
 */
import type { PeerNotifier } from '../consensus/index.js';
import { encodeTurnValue } from './kept-turn-index.js';
import { type Settlement, hasInlineValue } from './ledger-commands.js';
import { type CopyTargets, TAKE_COPY, type TakeCopyNotice } from './messages.js';

export class ValueCopySender {
  private targets: CopyTargets | undefined;

  constructor(private readonly peers: PeerNotifier) {}

  /** Version of the targets that are known; undefined before the first. */
  get version(): string | undefined {
    return this.targets?.version;
  }

  updateTargets(targets: CopyTargets): void {
    this.targets = targets;
  }

  /**
   * Sends a settlement's value, if it has one. What gets lost is fetched by the voter that lacks it.
   * @returns the version of the targets that it was sent to; undefined when it was sent to none
   */
  send({ attempt, keep }: Settlement): string | undefined {
    if (!this.targets || !keep || !hasInlineValue(keep)) return undefined;
    sendCopy(this.peers, this.targets.addresses, { turn: attempt, value: encodeTurnValue(keep) });
    return this.targets.version;
  }
}

/** Sends a value to followers ahead of the entry that names it. */
export function sendCopy(
  peers: PeerNotifier,
  addresses: readonly string[],
  copy: TakeCopyNotice,
): void {
  for (const address of addresses) peers.notify(address, TAKE_COPY, copy);
}
