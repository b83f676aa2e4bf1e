/** The replicated directory: which commands change it, and what survives a snapshot. */
import { describe, expect, it } from 'vitest';
import { emptyConfiguration, sampleRegistration } from '../../tests/support/directory-samples.js';
import { encodeValue } from '../wire/index.js';
import type { BackendRegistration } from './backend-registration.js';
import type { DirectoryCommand } from './directory-commands.js';
import { DirectoryStateMachine } from './directory-state-machine.js';
import { incarnationId } from './incarnation.js';
import { packConfiguration, unpackSource } from './packed-configuration.js';

class Machine {
  readonly state = new DirectoryStateMachine();
  private index = 0;

  run(command: DirectoryCommand): boolean {
    this.index += 1;
    return this.state.apply(encodeValue(command), this.index).changed;
  }

  put(generation: number, source: string): boolean {
    return this.run({
      kind: 'put-configuration',
      ...packConfiguration(emptyConfiguration(generation), source),
    });
  }

  register(overrides: Partial<BackendRegistration>): boolean {
    return this.run({ kind: 'register-backend', registration: sampleRegistration(overrides) });
  }
}

describe('configuration', () => {
  it('lets the highest generation prevail, whatever comes later', () => {
    const machine = new Machine();
    expect(machine.put(7, 'seven')).toBe(true);
    expect(machine.put(5, 'five')).toBe(false);
    expect(machine.put(7, 'another seven')).toBe(false);
    expect(unpackSource(machine.state.configuration!)).toBe('seven');
    expect(machine.put(9, 'nine')).toBe(true);
    expect(machine.state.configurationIndex).toBe(4);
  });
});

describe('back ends', () => {
  it('ignores messages that are older than what is known', () => {
    const machine = new Machine();
    machine.register({ sequence: 5, phase: 'draining' });
    expect(machine.register({ sequence: 4, phase: 'ready' })).toBe(false);
    expect(machine.state.backends.get('i-1')?.phase).toBe('draining');
  });

  it('keeps a drain that was acknowledged', () => {
    const machine = new Machine();
    machine.register({ phase: 'draining', sequence: 2 });
    expect(machine.register({ phase: 'ready', sequence: 3 })).toBe(false);
  });

  it('does not revive one that has left, however late its heartbeat comes', () => {
    const machine = new Machine();
    machine.register({});
    machine.run({ kind: 'remove-backend', id: 'i-1', hasDeparted: true });
    expect(machine.register({ sequence: 99 })).toBe(false);
    expect(machine.state.backends.size).toBe(0);
  });

  it('takes one back that had only fallen silent', () => {
    const machine = new Machine();
    machine.register({});
    machine.run({ kind: 'remove-backend', id: 'i-1', hasDeparted: false });
    expect(machine.state.backends.size).toBe(0);
    expect(machine.register({ sequence: 2 })).toBe(true);
  });

  // A heartbeat that a cut had held up arrived after its sender had been taken out for its silence and another
  // back end had registered at the address: the living one was forgotten for good.
  it('takes none back whose address another one has', () => {
    const machine = new Machine();
    machine.register({});
    machine.run({ kind: 'remove-backend', id: 'i-1', hasDeparted: false });
    machine.register({ id: 'i-2' });
    const copy = new DirectoryStateMachine();
    copy.restore(Buffer.concat([...machine.state.snapshot()]));
    expect(copy.isChange(sampleRegistration({ sequence: 2 }))).toBe(false);
    expect(machine.register({ sequence: 2 })).toBe(false);
    expect([...machine.state.backends.keys()]).toEqual(['i-2']);
  });

  it('remembers a departure of one it never knew', () => {
    const machine = new Machine();
    machine.run({ kind: 'remove-backend', id: 'i-1', hasDeparted: true });
    expect(machine.register({})).toBe(false);
  });

  it('gives an address to the incarnation that came last', () => {
    const machine = new Machine();
    machine.register({});
    machine.register({ id: 'i-2', service: 'other' });
    expect([...machine.state.backends.keys()]).toEqual(['i-2']);
    expect(machine.register({ sequence: 50 })).toBe(false);
  });
});

/**
 * Back ends may start again under their names, with counts that begin anew. Told apart by name alone, one that had said
 * that it leaves, had left, or had been replaced stayed out for good, and its first heartbeats counted as old ones.
 */
describe('a back end that starts again under its name', () => {
  const before = { startedAt: 1_000, sequence: 40 };
  const after = { startedAt: 2_000, sequence: 1 };
  const starts = (machine: Machine): unknown[] =>
    [...machine.state.backends.values()].map(({ startedAt, phase }) => [startedAt, phase]);

  it('counts anew, at its address and at another one', () => {
    for (const address of ['127.0.0.1:1000', '127.0.0.1:2000']) {
      const machine = new Machine();
      machine.register(before);
      expect(machine.register({ ...after, address })).toBe(true);
      expect(starts(machine)).toEqual([[2_000, 'ready']]);
    }
  });

  it.each([
    [
      'after it had said that it leaves',
      (machine: Machine) => machine.register({ ...before, sequence: 41, phase: 'draining' }),
    ],
    [
      'after it had left',
      (machine: Machine) =>
        machine.run({ kind: 'remove-backend', id: 'i-1@1000', hasDeparted: true }),
    ],
    [
      'after it was silent',
      (machine: Machine) =>
        machine.run({ kind: 'remove-backend', id: 'i-1@1000', hasDeparted: false }),
    ],
    [
      'after another one had its address',
      (machine: Machine) => machine.register({ name: 'i-2', startedAt: 1_500 }),
    ],
  ])('takes calls again %s', (_, happens) => {
    const machine = new Machine();
    machine.register(before);
    happens(machine);
    expect(machine.register(after)).toBe(true);
    expect(starts(machine)).toEqual([[2_000, 'ready']]);
  });

  it.each([
    ['a heartbeat of the start before', { ...before, sequence: 99 }],
    ['its leaving', { ...before, sequence: 99, phase: 'draining' as const }],
    ['the same at the address before', { ...before, sequence: 99, address: '127.0.0.1:9' }],
    ['an entry without a start', { sequence: 99 }],
  ])('is not harmed by %s that comes late', (_, late) => {
    const machine = new Machine();
    machine.register(before);
    machine.register(after);
    const copy = new DirectoryStateMachine();
    copy.restore(Buffer.concat([...machine.state.snapshot()]));
    expect(copy.isChange(sampleRegistration(late))).toBe(false);
    expect(machine.register(late)).toBe(false);
    expect(starts(machine)).toEqual([[2_000, 'ready']]);
  });

  it('stays out when a start that was silent is heard of after a later one has left', () => {
    const machine = new Machine();
    machine.register(before);
    machine.run({ kind: 'remove-backend', id: 'i-1@1000', hasDeparted: false });
    machine.register({ ...after, address: '127.0.0.1:2' });
    machine.run({ kind: 'remove-backend', id: 'i-1@2000', hasDeparted: true });
    expect(machine.register({ ...before, sequence: 99 })).toBe(false);
  });

  it('is named by whoever leaves, with its start or without', () => {
    const machine = new Machine();
    machine.register(after);
    expect(machine.state.idsOf({ name: 'i-1' })).toEqual(['i-1@2000']);
    expect(machine.state.idsOf({ name: 'i-1', startedAt: 1_000 })).toEqual(['i-1@1000']);
  });

  it('has ids that no other name or start has', () => {
    const all = [
      { name: 'a' },
      { name: 'a', startedAt: 1 },
      { name: 'a@1' },
      { name: 'a%401' },
      { name: 'a@1', startedAt: 1 },
    ];
    expect(new Set(all.map(incarnationId)).size).toBe(all.length);
  });
});

describe('founding and retirement', () => {
  it('keeps the first founders', () => {
    const machine = new Machine();
    const founder = { id: 'a', name: 'a', address: 'a:1', role: 'voter' as const };
    expect(machine.run({ kind: 'found-ledger', founders: [founder] })).toBe(true);
    expect(machine.run({ kind: 'found-ledger', founders: [] })).toBe(false);
    expect(machine.state.ledgerFounders).toEqual([founder]);
  });

  it('never goes back from a completed retirement', () => {
    const machine = new Machine();
    machine.run({ kind: 'start-retirement', node: 'n' });
    machine.run({ kind: 'complete-retirement', node: 'n' });
    expect(machine.run({ kind: 'start-retirement', node: 'n' })).toBe(false);
    expect(machine.state.retirements.get('n')).toBe('complete');
  });
});

describe('snapshot', () => {
  it('holds everything', () => {
    const machine = new Machine();
    machine.put(3, 'three');
    machine.register({});
    machine.register({ id: 'i-2', address: '127.0.0.1:2' });
    machine.run({ kind: 'remove-backend', id: 'i-1', hasDeparted: true });
    machine.run({ kind: 'start-retirement', node: 'n' });
    const copy = new DirectoryStateMachine();
    copy.restore(Buffer.concat([...machine.state.snapshot()]));
    expect(unpackSource(copy.configuration!)).toBe('three');
    expect(copy.configurationIndex).toBe(1);
    expect([...copy.backends.keys()]).toEqual(['i-2']);
    expect(copy.hasDeparted('i-1')).toBe(true);
    expect(copy.backendsIndex).toBe(machine.state.backendsIndex);
    expect([...copy.retirements]).toEqual([['n', 'running']]);
  });
});
