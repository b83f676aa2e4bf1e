import fc from 'fast-check';
import { describe, expect, it, vi } from 'vitest';
import { ByteAccumulator } from '../memory-budget/index.js';
import { EventSplitter, type StreamEvent, appendData } from './event-splitter.js';

const STREAM =
  'id: 1\ndata: one\n\nid:2\ndata:two\ndata:more\n\n: comment\n\nid: 3\r\ndata: x\r\n\r\n';

function split(chunks: Buffer[]) {
  const splitter = new EventSplitter();
  const events = chunks.flatMap((chunk) => splitter.push(chunk));
  return { splitter, events };
}

function dataOf(event: StreamEvent): string {
  const output = new ByteAccumulator();
  appendData(event, output);
  return output.take().toString();
}

describe('event splitter', () => {
  it('reads ids and data', () => {
    const { events, splitter } = split([Buffer.from(STREAM)]);
    expect(events.map((event) => event.id)).toEqual(['1', '2', undefined, '3']);
    expect(events.map((event) => event.hasData)).toEqual([true, true, false, true]);
    expect(events.map((event) => dataOf(event))).toEqual(['one\n', 'two\nmore\n', '', 'x\n']);
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

  // Guards against an incomplete event that was copied with each of its chunks.
  it('copies an event in many chunks twice at most', () => {
    const chunk = Buffer.alloc(64 * 1024, 'x');
    const splitter = new EventSplitter();
    const join = vi.spyOn(Buffer, 'concat');
    const allocate = vi.spyOn(Buffer, 'allocUnsafeSlow');
    const copyOf = vi.spyOn(Buffer, 'from');
    splitter.push(Buffer.from('data: '));
    for (let count = 0; count < 64; count += 1) splitter.push(chunk);
    const [event] = splitter.push(Buffer.from('\n\n'));
    const copies = [join, allocate, copyOf].flatMap(({ mock }) => mock.results);
    vi.restoreAllMocks();
    expect(event!.bytes.length).toBe(8 + 64 * chunk.length);
    const copiedBytes = copies.reduce((sum, { value }) => sum + (value as Buffer).length, 0);
    expect(copiedBytes).toBeLessThan(2.1 * event!.bytes.length);
  });

  it.each(['\n\n', '\n\r\n'])('finds the blank line %j across chunks of one byte', (blankLine) => {
    const stream = `\ndata: a${blankLine}data: b\ndata: \r\n\rc${blankLine}`;
    const { events, splitter } = split([...stream].map((character) => Buffer.from(character)));
    expect(events.map(({ bytes }) => bytes.toString())).toEqual(
      split([Buffer.from(stream)]).events.map(({ bytes }) => bytes.toString()),
    );
    expect(events).toHaveLength(2);
    expect(splitter.hasPartialEvent).toBe(false);
  });
});
