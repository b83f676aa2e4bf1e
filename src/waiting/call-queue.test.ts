/** Order and bounds of waiting calls. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { CallQueue } from './call-queue.js';
import type { WaitingCall } from './waiting-call.js';

interface NamedCall extends WaitingCall {
  name: string;
}

const DEADLINE_MS = 1_000;

function callOf(overrides: Partial<NamedCall> = {}): NamedCall {
  return {
    name: '',
    service: 's',
    priority: 1,
    tenant: 'a',
    hasBegun: false,
    deadlineMs: DEADLINE_MS,
    bytes: 1,
    ...overrides,
  };
}

function namesTaken(queue: CallQueue<NamedCall>, service = 's'): string[] {
  const names: string[] = [];
  for (;;) {
    const call = queue.take(service);
    if (!call) return names;
    names.push(call.name);
  }
}

function queueOf(...calls: Partial<NamedCall>[]): CallQueue<NamedCall> {
  const queue = new CallQueue<NamedCall>();
  for (const call of calls) expect(queue.add(callOf(call))).toEqual([]);
  return queue;
}

describe('the order of waiting calls', () => {
  it('is by priority before anything else', () => {
    const queue = queueOf(
      { name: 'late', priority: 2, hasBegun: true, programDeadlineMs: 1 },
      { name: 'middle', priority: 1, hasBegun: true },
      { name: 'urgent', priority: 0 },
    );
    expect(namesTaken(queue)).toEqual(['urgent', 'middle', 'late']);
  });

  it('gives tenants equal turns, so that many calls of one do not delay the others', () => {
    const heavy = Array.from({ length: 6 }, (_, number) => ({ name: `heavy${number}` }));
    const queue = queueOf(...heavy, { name: 'b0', tenant: 'b' }, { name: 'b1', tenant: 'b' });
    expect(namesTaken(queue).slice(0, 4)).toEqual(['heavy0', 'b0', 'heavy1', 'b1']);
  });

  it('gives a tenant no credit for the time in which it had no calls', () => {
    const queue = queueOf({ name: 'a0' }, { name: 'a1' }, { name: 'a2' }, { name: 'a3' });
    queue.take('s');
    queue.take('s');
    queue.add(callOf({ name: 'b0', tenant: 'b' }));
    queue.add(callOf({ name: 'b1', tenant: 'b' }));
    expect(namesTaken(queue)).toEqual(['b0', 'a2', 'b1', 'a3']);
  });

  it('does not forget the turns of a tenant whose calls arrive one at a time', () => {
    const queue = queueOf({ name: 'b0', tenant: 'b' }, { name: 'b1', tenant: 'b' });
    queue.add(callOf({ name: 'b2', tenant: 'b' }));
    const order: string[] = [];
    for (let turn = 0; turn < 4; turn += 1) {
      queue.add(callOf({ name: `a${turn}` }));
      order.push(queue.take('s')!.name);
    }
    expect(order.filter((name) => name.startsWith('b'))).toHaveLength(2);
  });

  it('prefers programs that have begun, then the least remaining time, within a tenant', () => {
    const queue = queueOf(
      { name: 'first, urgent', programDeadlineMs: 10 },
      { name: 'begun, late', hasBegun: true, programDeadlineMs: 0, isProgramLate: true },
      { name: 'begun, long', hasBegun: true, programDeadlineMs: 500 },
      { name: 'begun, no deadline', hasBegun: true },
      { name: 'begun, short', hasBegun: true, programDeadlineMs: 100 },
    );
    expect(namesTaken(queue)).toEqual([
      'begun, short',
      'begun, long',
      'begun, no deadline',
      'begun, late',
      'first, urgent',
    ]);
  });

  it('takes a less urgent call at least once in eight, also with several classes', () => {
    const queue = queueOf();
    for (let number = 0; number < 40; number += 1) {
      for (const priority of [0, 1, 2]) queue.add(callOf({ name: `${priority}`, priority }));
    }
    const taken = namesTaken(queue).slice(0, 36);
    for (let start = 0; start + 8 <= taken.length; start += 1) {
      expect(taken.slice(start, start + 8).some((name) => name !== '0')).toBe(true);
    }
    expect(taken.filter((name) => name === '2').length).toBeGreaterThanOrEqual(3);
  });

  it('is separate for each service, so that plain calls never wait behind model calls', () => {
    const queue = queueOf({ name: 'turn', priority: 0 }, { name: 'tool', service: 'tools' });
    expect(queue.positions('tools')[0]!.ahead).toBe(0);
    expect(namesTaken(queue, 'tools')).toEqual(['tool']);
  });

  it('counts the turn of one in eight when it tells how many calls are ahead', () => {
    const urgent = Array.from({ length: 20 }, () => ({ priority: 0 }));
    const queue = queueOf(
      ...urgent,
      { name: 'first', priority: 1 },
      { name: 'second', priority: 1 },
    );
    const ahead = queue.positions('s').filter(({ call }) => call.priority === 1);
    expect(ahead.map((position) => position.ahead)).toEqual([7, 15]);
  });

  it('is the order in which calls are taken, if no class is starved', () => {
    const call = fc.record({
      tenant: fc.constantFrom('a', 'b', 'c'),
      hasBegun: fc.boolean(),
      programDeadlineMs: fc.option(fc.nat(50), { nil: undefined }),
    });
    fc.assert(
      fc.property(fc.array(call, { maxLength: 30 }), (calls) => {
        const queue = queueOf(...calls.map((other, index) => ({ ...other, name: `${index}` })));
        const expected = queue.positions('s').map((position) => position.call.name);
        expect(namesTaken(queue)).toEqual(expected);
      }),
    );
  });
});

describe('the bounds of waiting calls', () => {
  it('refuse the last call in order when there are too many', () => {
    const queue = new CallQueue<NamedCall>({ calls: 2, bytes: 100 });
    queue.add(callOf({ name: 'less urgent', priority: 2 }));
    queue.add(callOf({ name: 'urgent', priority: 0 }));
    const refused = queue.add(callOf({ name: 'middle', priority: 1 }));
    expect(refused.map(({ name }) => name)).toEqual(['less urgent']);
    expect(queue.add(callOf({ name: 'last', priority: 3 })).map(({ name }) => name)).toEqual([
      'last',
    ]);
    expect(namesTaken(queue)).toEqual(['urgent', 'middle']);
  });

  it('refuse as many calls as hold too many bytes', () => {
    const queue = new CallQueue<NamedCall>({ calls: 10, bytes: 100 });
    for (const name of ['x', 'y', 'z']) queue.add(callOf({ name, priority: 2, bytes: 30 }));
    const refused = queue.add(callOf({ name: 'urgent', priority: 0, bytes: 70 }));
    expect(refused.map(({ name }) => name)).toEqual(['z', 'y']);
    expect(queue.bytes).toBe(100);
  });

  it('refuse a call that alone exceeds them if others are ahead, and keep the others', () => {
    const queue = new CallQueue<NamedCall>({ calls: 10, bytes: 100 });
    queue.add(callOf({ name: 'small' }));
    const refused = queue.add(callOf({ name: 'large', priority: 2, bytes: 101 }));
    expect(refused.map(({ name }) => name)).toEqual(['large']);
    expect(namesTaken(queue)).toEqual(['small']);
  });

  // Otherwise a call with a long history could never wait, however few calls do.
  it('count a call that alone exceeds the bytes as their bound', () => {
    const queue = new CallQueue<NamedCall>({ calls: 10, bytes: 100 });
    queue.add(callOf({ name: 'small' }));
    const refused = queue.add(callOf({ name: 'large', priority: 0, bytes: 1_000 }));
    expect(refused.map(({ name }) => name)).toEqual(['small']);
    expect(queue.bytes).toBe(100);
    expect(namesTaken(queue)).toEqual(['large']);
    expect(queue.bytes).toBe(0);
  });

  it('spare the service that holds less, among equal priorities', () => {
    const queue = new CallQueue<NamedCall>({ calls: 3, bytes: 100 });
    queue.add(callOf({ name: 'turn 1' }));
    queue.add(callOf({ name: 'turn 2' }));
    queue.add(callOf({ name: 'turn 3' }));
    const refused = queue.add(callOf({ name: 'tool', service: 'tools' }));
    expect(refused.map(({ name }) => name)).toEqual(['turn 3']);
  });

  it('count removed calls no more', () => {
    const operation = fc.record({
      kind: fc.constantFrom('add', 'take', 'remove'),
      priority: fc.nat(2),
      tenant: fc.constantFrom('a', 'b'),
      service: fc.constantFrom('s', 'tools'),
      bytes: fc.integer({ min: 1, max: 40 }),
    });
    fc.assert(
      fc.property(fc.array(operation, { maxLength: 60 }), (operations) => {
        const queue = new CallQueue<NamedCall>({ calls: 8, bytes: 100 });
        const held = new Set<NamedCall>();
        for (const { kind, ...fields } of operations) {
          if (kind === 'add') {
            const call = callOf(fields);
            held.add(call);
            for (const refused of queue.add(call)) held.delete(refused);
          } else if (kind === 'take') held.delete(queue.take(fields.service)!);
          else {
            const [call] = held;
            if (call) expect(queue.remove(call)).toBe(true);
            held.delete(call!);
          }
          const bytes = [...held].reduce((sum, call) => sum + call.bytes, 0);
          expect({ size: queue.size, bytes: queue.bytes }).toEqual({ size: held.size, bytes });
          expect(queue.size).toBeLessThanOrEqual(8);
          expect(queue.bytes).toBeLessThanOrEqual(100);
        }
      }),
    );
  });
});
