import { expect, it } from 'vitest';
import { CountingExchange } from '../../tests/support/counting-exchange.js';
import { EventCollector } from './earlier-events.js';

const HEAD = { status: 200, statusText: 'OK', headers: [] };
/** What the caller's own run holds. */
const HELD_BYTES = 100;

function collect(caller: CountingExchange, maxTurnBytes: number): EventCollector {
  const collector = new EventCollector({
    caller,
    lastEventId: '2',
    heldBytes: HELD_BYTES,
    maxTurnBytes,
  });
  collector.begin(HEAD);
  return collector;
}

// Guards against events that fill the memory uncounted.
it('counts collected events beside what is held of the call', () => {
  const caller = new CountingExchange();
  const collector = collect(caller, 1_000);
  collector.write(Buffer.from('id: 1\ndata: 1234\n\n'));
  expect(caller.heldBytes).toBe(HELD_BYTES + '1234\n'.length);
  collector.noteHeldBytes(7);
  expect(caller.heldBytes).toBe(HELD_BYTES + '1234\n'.length + 7);
  expect(collector.takeOutput()).toBeUndefined();
  collector.write(Buffer.from('id: 2\ndata: 5\n\n'));
  expect(collector.isAbandoned).toBe(true);
  expect(collector.takeOutput()!.toString()).toBe('1234\n5\n');
});

it('leaves a run whose events are larger than a turn may be, without an output', () => {
  const collector = collect(new CountingExchange(), 30);
  let left = 0;
  collector.onAbandoned(() => (left += 1));
  for (let event = 0; event < 3; event += 1) collector.write(Buffer.from(': comment\n\n'));
  collector.write(Buffer.from('id: 2\ndata: 5\n\n'));
  expect([left, collector.isAbandoned, collector.takeOutput()]).toEqual([1, true, undefined]);
});
