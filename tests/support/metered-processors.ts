/**
 * Simulated processors: each message that a machine sends or receives, and each sync of its disk, takes time of its one
 * processor. Received messages wait in FIFO order for their turn.
 */
import { monotonicMs, sleep } from '../../src/common/index.js';

export interface MeteredProcessorsOptions {
  /** Processor time of one message, sent or received, in milliseconds. */
  messageMs: number;
  /** Processor time of one sync of a disk, in milliseconds. */
  syncMs: number;
  /** Whether the processor of a machine is metered; others take no time. */
  isMetered: (machine: string) => boolean;
  /** The machine of an address. @default each address has a machine of its own */
  machineOf?: (address: string) => string;
}

export class MeteredProcessors {
  private readonly freeAt = new Map<string, number>();
  private readonly usedMs = new Map<string, number>();

  constructor(private readonly options: MeteredProcessorsOptions) {}

  /** Processor time that a machine has used or is bound to use, in milliseconds. */
  usedBy(machine: string): number {
    return this.usedMs.get(machine) ?? 0;
  }

  /** Charges a message that a running handler sends; it leaves at once, and what waits is delayed. */
  chargeSend(address: string): void {
    this.occupy(this.machineOf(address), this.options.messageMs);
  }

  /** Charges a sync of a machine's disk. */
  chargeSync(address: string): void {
    this.occupy(this.machineOf(address), this.options.syncMs);
  }

  /** Resolves when the machine has processed all that arrived before, and then this message. */
  async receive(address: string): Promise<void> {
    const machine = this.machineOf(address);
    if (!this.options.isMetered(machine)) return;
    const doneAt = this.occupy(machine, this.options.messageMs);
    await sleep(Math.max(0, doneAt - monotonicMs()));
  }

  private machineOf(address: string): string {
    return this.options.machineOf?.(address) ?? address;
  }

  /** @returns the time at which the work is done */
  private occupy(machine: string, workMs: number): number {
    const now = monotonicMs();
    if (!this.options.isMetered(machine)) return now;
    const doneAt = Math.max(now, this.freeAt.get(machine) ?? 0) + workMs;
    this.freeAt.set(machine, doneAt);
    this.usedMs.set(machine, this.usedBy(machine) + workMs);
    return doneAt;
  }
}
