import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { EventSplitter, dataOfEvent } from './event-splitter.js';

const STREAM =
  'id: 1\ndata: one\n\nid:2\ndata:two\ndata:more\n\n: comment\n\nid: 3\r\ndata: x\r\n\r\n';

function split(chunks: Buffer[]) {
  const splitter = new EventSplitter();
  const events = chunks.flatMap((chunk) => splitter.push(chunk));
  return { splitter, events };
}

describe('event splitter', () => {
  it('reads ids and data', () => {
    const { events, splitter } = split([Buffer.from(STREAM)]);
    expect(events.map((event) => event.id)).toEqual(['1', '2', undefined, '3']);
    expect(events.map((event) => event.hasData)).toEqual([true, true, false, true]);
    expect(events.map((event) => dataOfEvent(event).toString())).toEqual([
      'one\n',
      'two\nmore\n',
      '',
      'x\n',
    ]);
    expect(splitter.hasPartialEvent).toBe(false);
  });

  it('yields the same events and bytes for any chunking', () => {
    const cutPositions = fc.array(fc.integer({ min: 0, max: STREAM.length }), { maxLength: 20 });
    fc.assert(
      fc.property(cutPositions, (positions) => {
        const bounds = [0, ...positions.sort((left, right) => left - right), STREAM.length];
        const chunks = bounds
          .slice(1)
          .map((end, index) => Buffer.from(STREAM.slice(bounds[index], end)));
        const { events } = split(chunks);
        expect(Buffer.concat(events.map((event) => event.bytes)).toString()).toBe(STREAM);
        expect(events).toHaveLength(4);
      }),
    );
  });

  it('detects an incomplete event', () => {
    const { events, splitter } = split([Buffer.from('id: 1\ndata: a\n\nid: 2\nda')]);
    expect(events).toHaveLength(1);
    expect(splitter.hasPartialEvent).toBe(true);
  });
});
