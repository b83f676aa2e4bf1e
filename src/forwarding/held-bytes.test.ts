/** Bytes of an answer that are held before they are written, as told to the memory budget. */
import { describe, expect, it } from 'vitest';
import { CountingExchange } from '../../tests/support/counting-exchange.js';
import { BufferedResponse } from './buffered-answer.js';
import type { CallExchange } from './call-exchange.js';
import { StreamRelay } from './stream-relay.js';

const HEAD = { status: 200, statusText: 'OK', headers: [] };

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

const MAX_TURN_BYTES = 10_000;

function relayTo(exchange: CallExchange, isKept: boolean, isResumable = false): StreamRelay {
  const limits = { maxEventBytes: 1_000_000, maxTurnBytes: MAX_TURN_BYTES };
  return new StreamRelay({ exchange, isKept, isResumable, ...limits });
}

describe('a stream', () => {
  // Guards against an event without an end that fills the memory uncounted.
  it('tells the size of an incomplete event', () => {
    const exchange = new CountingExchange();
    const relay = relayTo(exchange, false);
    relay.onHead(HEAD);
    relay.onData(Buffer.from(`id: 1\ndata: ${'x'.repeat(5_000)}`));
    expect(exchange.heldBytes).toBe(5_012);
    relay.onData(Buffer.from('\n\n'));
    expect([exchange.heldBytes, exchange.writtenBytes]).toEqual([0, 5_014]);
  });

  it('tells the size of the output that it collects, until it ends', () => {
    const exchange = new CountingExchange();
    const relay = relayTo(exchange, true);
    relay.onHead(HEAD);
    relay.onData(Buffer.from('data: 12345\n\ndata: 123\n\n'));
    expect(exchange.heldBytes).toBe('12345\n123\n'.length);
    relay.end();
    expect(exchange.heldBytes).toBe(0);
  });

  // Guards against copies of a kept turn that fill the memory uncounted.
  it('counts the copies that the commit of its output makes', () => {
    const exchange = new CountingExchange();
    const relay = relayTo(exchange, true);
    relay.onHead(HEAD);
    relay.onData(Buffer.from('data: 12345\n\ndata: 123\n\n'));
    expect(relay.takeOutput().toString()).toBe('12345\n123\n');
    expect(exchange.heldBytes).toBe(2 * '12345\n123\n'.length);
    relay.end();
    expect(exchange.heldBytes).toBe(0);
  });

  it('holds nothing of an incomplete event of a failed attempt', () => {
    const exchange = new CountingExchange();
    const relay = relayTo(exchange, false, true);
    relay.onHead(HEAD);
    relay.onData(Buffer.from(`id: 1\ndata: a\n\nid: 2\ndata: ${'x'.repeat(500)}`));
    expect(exchange.heldBytes).toBeGreaterThan(500);
    relay.restart();
    expect(exchange.heldBytes).toBe(0);
  });

  // Guards against small events without an end that fill the memory with the output of a kept turn.
  it.each(['data: x\n\n', ': comment\n\n'])(
    'rejects a kept turn without an end, of %j',
    (event) => {
      const relay = relayTo(new CountingExchange(), true, true);
      relay.onHead(HEAD);
      const events = Math.ceil(MAX_TURN_BYTES / event.length);
      for (let count = 1; count < events; count += 1) relay.onData(Buffer.from(event));
      expect(relay.rejectionReason).toBeUndefined();
      relay.onData(Buffer.from(event.repeat(2)));
      expect([relay.rejectionReason, relay.canResume]).toEqual(['turn too large', false]);
    },
  );

  it('has no greatest size if it is not kept', () => {
    const relay = relayTo(new CountingExchange(), false);
    relay.onHead(HEAD);
    relay.onData(Buffer.from('data: x\n\n'.repeat(MAX_TURN_BYTES)));
    expect(relay.rejectionReason).toBeUndefined();
  });

  it('frees what it holds once it is discarded', () => {
    const exchange = new CountingExchange();
    const relay = relayTo(exchange, true);
    relay.onHead(HEAD);
    relay.onData(Buffer.from('data: 12345\n\ndata: 123'));
    relay.discard();
    expect([exchange.heldBytes, relay.heldBytes]).toEqual([0, 0]);
  });
});
