/**
 * Sends values of kept turns from a gateway to the voters that follow the ledger's leader, which then only
 * names them in its log: its link carries each once, in place of once for every voter.
 */
import type { PeerNotifier } from '../consensus/index.js';
import { valueOf } from './kept-turns.js';
import { type Settlement, carriesValue } from './ledger-commands.js';
import { type CopyTargets, TAKE_COPY } from './messages.js';

export class ValueCopies {
  private targets: CopyTargets | undefined;

  constructor(private readonly peers: PeerNotifier) {}

  /** Version of the targets that are known; undefined before the first. */
  get version(): string | undefined {
    return this.targets?.version;
  }

  noteTargets(targets: CopyTargets): void {
    this.targets = targets;
  }

  /**
   * Sends a settlement's value, if it has one. What gets lost is fetched by the voter that lacks it.
   * @returns the version of the targets that it was sent to; undefined when it was sent to none
   */
  send({ attempt, keep }: Settlement): string | undefined {
    if (!this.targets || !keep || !carriesValue(keep)) return undefined;
    const copy = { turn: attempt, value: valueOf(keep) };
    for (const address of this.targets.addresses) this.peers.notify(address, TAKE_COPY, copy);
    return this.targets.version;
  }
}
