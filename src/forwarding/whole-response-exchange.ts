/**
 * Sends a response as a whole, with its length, once it has ended. For callers without chunks, who would take the close of
 * the connection of a killed gateway for the end of the response.
 */
import { firstHeader } from '../http/index.js';
import { ByteAccumulator } from '../memory-budget/index.js';
import type {
  CallDescription,
  CallExchange,
  Disconnector,
  Refusal,
  ResponseHead,
} from './call-exchange.js';

export class WholeResponseExchange implements CallExchange {
  private head: ResponseHead | undefined;
  private readonly body = new ByteAccumulator();
  /** Bytes that the sender of the response holds besides. */
  private senderBytes = 0;

  constructor(private readonly exchange: CallExchange) {}

  get description(): CallDescription {
    return this.exchange.description;
  }

  get arrivedAt(): number {
    return this.exchange.arrivedAt;
  }

  get isAbandoned(): boolean {
    return this.exchange.isAbandoned;
  }

  onAbandoned(listener: () => void): void {
    this.exchange.onAbandoned(listener);
  }

  begin(head: ResponseHead): void {
    this.head = head;
  }

  write(chunk: Uint8Array): boolean {
    this.body.append(chunk);
    this.noteHeldBytes(this.senderBytes);
    return true;
  }

  onDrained(listener: () => void): void {
    this.exchange.onDrained(listener);
  }

  noteBackend(id: string): void {
    this.exchange.noteBackend?.(id);
  }

  noteHeldBytes(bytes: number): void {
    this.senderBytes = bytes;
    this.exchange.noteHeldBytes?.(bytes + this.body.heldBytes);
  }

  end(chunk?: Uint8Array): void {
    if (chunk) this.write(chunk);
    if (this.head) this.exchange.begin(withLength(this.head, this.body.length));
    const body = this.body.take();
    this.exchange.noteHeldBytes?.(0);
    this.exchange.end(body);
  }

  abort(by?: Exclude<Disconnector, 'caller'>): void {
    this.exchange.abort(by);
  }

  refuse(refusal: Refusal): void {
    this.exchange.refuse(refusal);
  }
}

function withLength(head: ResponseHead, length: number): ResponseHead {
  if (firstHeader(head.headers, 'content-length') !== undefined) return head;
  return { ...head, headers: [...head.headers, 'Content-Length', String(length)] };
}
