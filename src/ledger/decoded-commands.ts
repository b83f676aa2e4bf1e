/**
 * Decodes each command once. A member needs it when the entry arrives, when the entry is logged and when it is applied,
 * and decoding takes more processor time than applying.
 */
import { decodeValue } from '../wire/index.js';
import type { LedgerCommand } from './ledger-commands.js';

interface DecodedCommand {
  data: Uint8Array;
  command: LedgerCommand;
}

export class DecodedCommands {
  /** By index of the entry; those that have not been applied. */
  private readonly byIndex = new Map<number, DecodedCommand>();

  /** The command of an entry that arrives or is logged. Must not be changed. */
  decode(index: number, data: Uint8Array): LedgerCommand {
    const known = this.byIndex.get(index);
    if (known?.data === data) return known.command;
    const command = decodeValue<LedgerCommand>(data);
    this.byIndex.set(index, { data, command });
    return command;
  }

  /** The command of an entry that is applied, which may differ from the one that arrived first at its index. */
  take(index: number, data: Uint8Array): LedgerCommand {
    const known = this.byIndex.get(index);
    this.byIndex.delete(index);
    if (known && Buffer.compare(known.data, data) === 0) return known.command;
    return decodeValue<LedgerCommand>(data);
  }

  /** Forgets all commands, for a state that is replaced. */
  clear(): void {
    this.byIndex.clear();
  }
}
