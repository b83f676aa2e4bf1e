/** Commands and snapshots of the replicated directory. */
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
  it('keeps the highest generation, whatever order they arrive in', () => {
    const machine = new Machine();
    expect(machine.put(7, 'seven')).toBe(true);
    expect(machine.put(5, 'five')).toBe(false);
    expect(machine.put(7, 'another seven')).toBe(false);
    expect(unpackSource(machine.state.configuration!)).toBe('seven');
    expect(machine.put(9, 'nine')).toBe(true);
    expect(machine.state.configurationIndex).toBe(4);
  });
});

describe('backends', () => {
  it('ignores outdated messages', () => {
    const machine = new Machine();
    machine.register({ sequence: 5, phase: 'draining' });
    expect(machine.register({ sequence: 4, phase: 'ready' })).toBe(false);
    expect(machine.state.backends.get('i-1')?.phase).toBe('draining');
  });

  it('takes another software version that is reported under the same id', () => {
    const machine = new Machine();
    machine.register({ softwareVersion: 'v1', sequence: 1 });
    expect(machine.register({ softwareVersion: 'v1', sequence: 2 })).toBe(false);
    expect(machine.register({ softwareVersion: 'v2', sequence: 3 })).toBe(true);
    expect(machine.state.backends.get('i-1')?.softwareVersion).toBe('v2');
  });

  it('takes the software version of a backend whose registration an earlier release committed', () => {
    const machine = new Machine();
    machine.register({ sequence: 1 });
    const copy = new DirectoryStateMachine();
    copy.restore(Buffer.concat([...machine.state.snapshot()]));
    expect(copy.isChange(sampleRegistration({ sequence: 2 }))).toBe(false);
    const reported = sampleRegistration({ softwareVersion: 'v1', sequence: 2 });
    expect(copy.isChange(reported)).toBe(true);
  });

  it('does not revert a drain', () => {
    const machine = new Machine();
    machine.register({ phase: 'draining', sequence: 2 });
    expect(machine.register({ phase: 'ready', sequence: 3 })).toBe(false);
  });

  it('ignores late heartbeats of a backend that has left', () => {
    const machine = new Machine();
    machine.register({});
    machine.run({ kind: 'remove-backend', id: 'i-1', hasDeparted: true });
    expect(machine.register({ sequence: 99 })).toBe(false);
    expect(machine.state.backends.size).toBe(0);
  });

  it('registers a backend again that was removed for missing heartbeats', () => {
    const machine = new Machine();
    machine.register({});
    machine.run({ kind: 'remove-backend', id: 'i-1', hasDeparted: false });
    expect(machine.state.backends.size).toBe(0);
    expect(machine.register({ sequence: 2 })).toBe(true);
  });

  // A delayed heartbeat of a lost backend must not replace the running backend at its address.
  it('does not register a lost backend again whose address is in use', () => {
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

  it('records the departure of an unknown backend', () => {
    const machine = new Machine();
    machine.run({ kind: 'remove-backend', id: 'i-1', hasDeparted: true });
    expect(machine.register({})).toBe(false);
  });

  it('assigns an address to the latest incarnation', () => {
    const machine = new Machine();
    machine.register({});
    machine.register({ id: 'i-2', service: 'other' });
    expect([...machine.state.backends.keys()]).toEqual(['i-2']);
    expect(machine.register({ sequence: 50 })).toBe(false);
  });
});

// Without start times nothing but further heartbeats tells which of two incarnations at an address is the later one.
it('a backend that goes on sending heartbeats stays registered after a late first one of its predecessor', () => {
  const machine = new Machine();
  machine.register({ id: 'i-2', sequence: 1 });
  machine.register({ id: 'i-1', sequence: 1 });
  for (const sequence of [2, 3, 4, 5]) machine.register({ id: 'i-2', sequence });
  expect([...machine.state.backends.keys()]).toEqual(['i-2']);
});

it('a backend with a start time stays registered after a late first heartbeat of its predecessor', () => {
  const machine = new Machine();
  machine.register({ id: 'i-2', sequence: 1, startedAt: 2_000 });
  machine.register({ id: 'i-1', sequence: 1, startedAt: 1_000 });
  expect([...machine.state.backends.keys()]).toEqual(['i-2']);
});

/**
 * Guards against telling incarnations apart by name alone: a restarted backend would stay removed, and its first
 * heartbeats would count as outdated.
 */
describe('a backend that restarts under its name', () => {
  const before = { startedAt: 1_000, sequence: 40 };
  const after = { startedAt: 2_000, sequence: 1 };
  const incarnations = (machine: Machine): unknown[] =>
    [...machine.state.backends.values()].map(({ startedAt, phase }) => [startedAt, phase]);

  it('replaces its earlier incarnation, at the same address and at another one', () => {
    for (const address of ['127.0.0.1:1000', '127.0.0.1:2000']) {
      const machine = new Machine();
      machine.register(before);
      expect(machine.register({ ...after, address })).toBe(true);
      expect(incarnations(machine)).toEqual([[2_000, 'ready']]);
    }
  });

  it.each([
    [
      'after it was draining',
      (machine: Machine) => machine.register({ ...before, sequence: 41, phase: 'draining' }),
    ],
    [
      'after it had left',
      (machine: Machine) =>
        machine.run({ kind: 'remove-backend', id: 'i-1@1000', hasDeparted: true }),
    ],
    [
      'after it missed heartbeats',
      (machine: Machine) =>
        machine.run({ kind: 'remove-backend', id: 'i-1@1000', hasDeparted: false }),
    ],
    [
      'after another one used its address',
      (machine: Machine) => machine.register({ name: 'i-2', startedAt: 1_500 }),
    ],
  ])('registers again %s', (_, prepare) => {
    const machine = new Machine();
    machine.register(before);
    prepare(machine);
    expect(machine.register(after)).toBe(true);
    expect(incarnations(machine)).toEqual([[2_000, 'ready']]);
  });

  it.each([
    ['a heartbeat of the earlier incarnation', { ...before, sequence: 99 }],
    ['a drain of the earlier incarnation', { ...before, sequence: 99, phase: 'draining' as const }],
    ['a heartbeat from the earlier address', { ...before, sequence: 99, address: '127.0.0.1:9' }],
    ['a registration without a start time', { sequence: 99 }],
  ])('is not affected when %s arrives late', (_, late) => {
    const machine = new Machine();
    machine.register(before);
    machine.register(after);
    const copy = new DirectoryStateMachine();
    copy.restore(Buffer.concat([...machine.state.snapshot()]));
    expect(copy.isChange(sampleRegistration(late))).toBe(false);
    expect(machine.register(late)).toBe(false);
    expect(incarnations(machine)).toEqual([[2_000, 'ready']]);
  });

  it('stays removed when an earlier incarnation sends a heartbeat after a later one has left', () => {
    const machine = new Machine();
    machine.register(before);
    machine.run({ kind: 'remove-backend', id: 'i-1@1000', hasDeparted: false });
    machine.register({ ...after, address: '127.0.0.1:2' });
    machine.run({ kind: 'remove-backend', id: 'i-1@2000', hasDeparted: true });
    expect(machine.register({ ...before, sequence: 99 })).toBe(false);
  });

  it('is found by name with or without a start time', () => {
    const machine = new Machine();
    machine.register(after);
    expect(machine.state.idsOf({ name: 'i-1' })).toEqual(['i-1@2000']);
    expect(machine.state.idsOf({ name: 'i-1', startedAt: 1_000 })).toEqual(['i-1@1000']);
  });

  it('has an id that is unique for name and start time', () => {
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

describe('ledger bootstrap and retirement', () => {
  it('keeps the first founders', () => {
    const machine = new Machine();
    const founder = { id: 'a', name: 'a', address: 'a:1', role: 'voter' as const };
    expect(machine.run({ kind: 'found-ledger', founders: [founder] })).toBe(true);
    expect(machine.run({ kind: 'found-ledger', founders: [] })).toBe(false);
    expect(machine.state.ledgerFounders).toEqual([founder]);
  });

  it('keeps the further groups, also in a snapshot', () => {
    const machine = new Machine();
    const founders = [{ id: 'a', name: 'a', address: 'a:1', role: 'voter' as const }];
    const furtherGroups = [{ name: 'ledger-2', founders }];
    machine.run({ kind: 'found-ledger', founders, furtherGroups });
    const copy = new DirectoryStateMachine(() => undefined);
    copy.restore(Buffer.concat([...machine.state.snapshot()]));
    const names = copy.ledgerGroups.map(({ name }) => name);
    expect(names).toEqual(['ledger', 'ledger-2']);
  });

  it('does not restart a completed retirement', () => {
    const machine = new Machine();
    machine.run({ kind: 'start-retirement', node: 'n' });
    machine.run({ kind: 'complete-retirement', node: 'n' });
    expect(machine.run({ kind: 'start-retirement', node: 'n' })).toBe(false);
    expect(machine.state.retirements.get('n')).toBe('complete');
  });
});

describe('snapshot', () => {
  it('includes the whole state', () => {
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
