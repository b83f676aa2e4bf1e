/** Bytes of an answer that are held before they are written, as told to the memory budget. */
import { describe, expect, it } from 'vitest';
import { sampleCall } from '../../tests/support/sample-call.js';
import { BufferedResponse } from './buffered-answer.js';
import type { CallExchange } from './call-exchange.js';
import { StreamRelay } from './stream-relay.js';

const HEAD = { status: 200, statusText: 'OK', headers: [] };

class CountingExchange implements CallExchange {
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

describe('a buffered answer', () => {
  it('tells what it holds until it is written', () => {
    const exchange = new CountingExchange();
    const response = new BufferedResponse(exchange);
    response.onHead(HEAD);
    response.onData(Buffer.alloc(1_000));
    response.onData(Buffer.alloc(500));
    expect([exchange.heldBytes, exchange.writtenBytes]).toEqual([1_500, 0]);
    response.end();
    expect([exchange.heldBytes, exchange.writtenBytes]).toEqual([0, 1_500]);
  });

  it('holds nothing once it is passed on as it arrives', () => {
    const exchange = new CountingExchange();
    const response = new BufferedResponse(exchange);
    response.onHead(HEAD);
    response.onData(Buffer.alloc(200_000));
    response.onData(Buffer.alloc(200_000));
    expect([exchange.heldBytes, exchange.writtenBytes]).toEqual([0, 400_000]);
  });

  it('holds nothing of a failed attempt', () => {
    const exchange = new CountingExchange();
    const response = new BufferedResponse(exchange);
    response.onHead(HEAD);
    response.onData(Buffer.alloc(1_000));
    response.restart();
    expect(exchange.heldBytes).toBe(0);
  });
});

describe('a stream', () => {
  // Guards against an event without an end that fills the memory uncounted.
  it('tells the size of an incomplete event', () => {
    const exchange = new CountingExchange();
    const relay = new StreamRelay({
      exchange,
      isKept: false,
      isResumable: false,
      maxEventBytes: 1_000_000,
    });
    relay.onHead(HEAD);
    relay.onData(Buffer.from(`id: 1\ndata: ${'x'.repeat(5_000)}`));
    expect(exchange.heldBytes).toBe(5_012);
    relay.onData(Buffer.from('\n\n'));
    expect([exchange.heldBytes, exchange.writtenBytes]).toEqual([0, 5_014]);
  });

  it('tells the size of the output that it collects, until it ends', () => {
    const exchange = new CountingExchange();
    const relay = new StreamRelay({
      exchange,
      isKept: true,
      isResumable: false,
      maxEventBytes: 1_000_000,
    });
    relay.onHead(HEAD);
    relay.onData(Buffer.from('data: 12345\n\ndata: 123\n\n'));
    expect(exchange.heldBytes).toBe('12345\n123\n'.length);
    relay.end();
    expect(exchange.heldBytes).toBe(0);
  });
});
