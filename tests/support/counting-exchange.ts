/** A caller's side of a call that counts what it is told to hold and what is written. */
import type { CallExchange } from '../../src/forwarding/call-exchange.js';
import { sampleCall } from './sample-call.js';

export class CountingExchange implements CallExchange {
  readonly description = sampleCall();
  readonly arrivedAt = 0;
  readonly isAbandoned = false;
  heldBytes = 0;
  writtenBytes = 0;

  onAbandoned(): void {}
  begin(): void {}
  write(chunk: Uint8Array): boolean {
    this.writtenBytes += chunk.length;
    return true;
  }
  onDrained(): void {}
  noteHeldBytes(bytes: number): void {
    this.heldBytes = bytes;
  }
  end(chunk?: Uint8Array): void {
    this.writtenBytes += chunk?.length ?? 0;
  }
  abort(): void {}
  refuse(): void {}
}
