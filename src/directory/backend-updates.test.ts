/** The backends that watchers hold while responses are lost, delayed or reordered. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import { encodeValue } from '../wire/index.js';
import type { BackendUpdate } from './backend-updates.js';
import type { BackendRegistration } from './backend-registration.js';
import { ChangeHistory } from '../common/index.js';
import type { DirectoryCommand } from './directory-commands.js';
import { DirectoryStateMachine } from './directory-state-machine.js';
import { BackendCache } from './backend-cache.js';
import { unpackJson } from './packed-json.js';
import {
  SilentBackendTracker,
  type SilenceDelta,
  type SilenceVersion,
} from './silent-backend-tracker.js';

const MEMBERS = 3;
const WATCHERS = 2;
/** So few that watchers often lag too far for a delta. */
const RETAINED_CHANGES = 3;
const NAMES = 5;
const RUNS = 300;
const MAX_STEPS = 400;

type Step =
  | { kind: 'commit'; command: DirectoryCommand }
  | { kind: 'apply'; member: number }
  | { kind: 'reinstall'; member: number }
  | { kind: 'ask'; watcher: number; member: number }
  | { kind: 'deliver'; which: number }
  | { kind: 'lose'; which: number };

interface PendingResponse {
  watcher: number;
  update: BackendUpdate;
}

function newMember(): DirectoryStateMachine {
  return new DirectoryStateMachine(() => undefined, new ChangeHistory(RETAINED_CHANGES));
}

/** A replicated log that members apply at different speeds, and watchers that request updates from any of them. */
class Directory {
  readonly log: DirectoryCommand[] = [];
  readonly members = Array.from({ length: MEMBERS }, newMember);
  readonly watchers = Array.from({ length: WATCHERS }, () => new BackendCache());
  /** Responses that have not been delivered yet. */
  readonly pending: PendingResponse[] = [];
  /** The backends at each log index at which they changed, and at index 0. */
  readonly states = new Map<number, string>([[0, textOf([])]]);
  private readonly applied = Array.from({ length: MEMBERS }, () => 0);

  commit(command: DirectoryCommand): void {
    this.log.push(command);
    this.apply(0);
    const { backends, backendsIndex } = this.members[0]!;
    this.states.set(backendsIndex, textOf([...backends.values()]));
  }

  /** A member applies the next entry. */
  apply(member: number): void {
    const command = this.log[this.applied[member]!];
    if (!command) return;
    this.applied[member]! += 1;
    this.members[member]!.apply(encodeValue(command), this.applied[member]!);
  }

  /** Installs the first member's snapshot on a lagging member. */
  reinstall(member: number): void {
    this.members[member]!.restore(Buffer.concat([...this.members[0]!.snapshot()]));
    this.applied[member] = this.log.length;
  }

  ask(watcher: number, member: number): void {
    const { index } = this.watchers[watcher]!;
    const { backendsIndex, backendUpdates } = this.members[member]!;
    if (backendsIndex > index)
      this.pending.push({ watcher, update: backendUpdates.updateSince(index) });
  }

  deliver({ watcher, update }: PendingResponse): void {
    const held = this.watchers[watcher]!;
    const before = held.index;
    held.apply(update);
    expect(held.index).toBeGreaterThanOrEqual(before);
    expect(textOf(held.records())).toBe(this.states.get(held.index));
  }

  run(step: Step): void {
    if (step.kind === 'commit') this.commit(step.command);
    else if (step.kind === 'apply') this.apply(step.member);
    else if (step.kind === 'reinstall') this.reinstall(step.member);
    else if (step.kind === 'ask') this.ask(step.watcher, step.member);
    else this.takePending(step.which, step.kind === 'deliver');
  }

  private takePending(which: number, isDelivered: boolean): void {
    if (this.pending.length === 0) return;
    const [response] = this.pending.splice(which % this.pending.length, 1);
    if (isDelivered) this.deliver(response!);
  }
}

function textOf(backends: BackendRegistration[]): string {
  const lines = backends.map(
    ({ id, service, address, phase }) => `${id} ${service} ${address} ${phase}`,
  );
  return lines.sort().join('\n');
}

function backendOf(
  number: number,
  start: number,
  phase: 'ready' | 'draining',
): BackendRegistration {
  const name = `i-${number}`;
  // Two names share an address, so that one incarnation replaces another backend.
  const address = `127.0.0.1:${1 + (number % (NAMES - 1))}`;
  return sampleRegistration({ name, startedAt: start, address, phase, sequence: start });
}

const number = fc.nat(NAMES - 1);
const start = fc.integer({ min: 1, max: 6 });
const command: fc.Arbitrary<DirectoryCommand> = fc.oneof(
  fc
    .record({ number, start, phase: fc.constantFrom('ready' as const, 'draining' as const) })
    .map((drawn) => ({
      kind: 'register-backend' as const,
      registration: backendOf(drawn.number, drawn.start, drawn.phase),
    })),
  fc.record({ number, start, hasDeparted: fc.boolean() }).map((drawn) => ({
    kind: 'remove-backend' as const,
    id: backendOf(drawn.number, drawn.start, 'ready').id,
    hasDeparted: drawn.hasDeparted,
  })),
);
const member = fc.nat(MEMBERS - 1);
const watcher = fc.nat(WATCHERS - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: command.map((drawn) => ({ kind: 'commit' as const, command: drawn })),
  },
  { weight: 6, arbitrary: member.map((drawn) => ({ kind: 'apply' as const, member: drawn })) },
  {
    weight: 1,
    arbitrary: fc
      .integer({ min: 1, max: MEMBERS - 1 })
      .map((drawn) => ({ kind: 'reinstall' as const, member: drawn })),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('ask' as const), watcher, member }) },
  { weight: 3, arbitrary: fc.nat(9).map((which) => ({ kind: 'deliver' as const, which })) },
  { weight: 1, arbitrary: fc.nat(9).map((which) => ({ kind: 'lose' as const, which })) },
);

/** A watcher of the silent backends through a sequence of leaders. */
class WatchedSilence {
  private readonly tracker = new SilentBackendTracker();
  private readonly held = new BackendCache();
  /** Silent backends at each version. */
  private readonly states = new Map<string, string>();
  private term = 1;

  constructor() {
    const directory = new Directory();
    for (let which = 0; which < NAMES - 1; which += 1) {
      directory.commit({ kind: 'register-backend', registration: backendOf(which, 1, 'ready') });
    }
    this.held.apply(directory.members[0]!.backendUpdates.updateSince(0));
  }

  beginTerm(): void {
    this.term += 1;
    this.tracker.clear();
  }

  update(silent: number[]): void {
    const registered = silent.filter((which) => which < NAMES - 1);
    this.tracker.update(new Set(registered.map((which) => backendOf(which, 1, 'ready').id)));
  }

  ask(): SilenceDelta | undefined {
    if (!this.tracker.hasUpdateFor(this.held.silence, this.term)) return undefined;
    const changes = unpackJson<SilenceDelta>(
      this.tracker.updateSince(this.held.silence, this.term),
    );
    this.states.set(keyOf(changes.version), this.leaderText());
    return changes;
  }

  take(changes: SilenceDelta): void {
    this.held.applySilenceDelta(changes);
    expect(this.heldText()).toBe(this.states.get(keyOf(this.held.silence)));
  }

  leaderText(): string {
    return [...this.tracker.ids].sort().join(' ');
  }

  heldText(): string {
    const silent = this.held.records().filter(({ isSilent }) => isSilent);
    return silent
      .map(({ id }) => id)
      .sort()
      .join(' ');
  }
}

function keyOf({ term, count }: SilenceVersion): string {
  return `${term}.${count}`;
}

describe('a watcher of the directory', () => {
  it('holds the backends of a single log index, whichever member responds and whatever is lost or late', () => {
    fc.assert(
      fc.property(fc.array(step, { minLength: MAX_STEPS / 2, maxLength: MAX_STEPS }), (steps) => {
        const directory = new Directory();
        for (const next of steps) directory.run(next);
        // Finally all responses arrive, and each watcher requests an update from the leader.
        for (const response of directory.pending.splice(0)) directory.deliver(response);
        for (const which of directory.watchers.keys()) directory.ask(which, 0);
        for (const response of directory.pending.splice(0)) directory.deliver(response);
        const [leader] = directory.members;
        for (const held of directory.watchers) {
          expect(held.index).toBe(leader!.backendsIndex);
          expect(textOf(held.records())).toBe(textOf([...leader!.backends.values()]));
        }
      }),
      { numRuns: RUNS },
    );
  });

  it('does not apply silence deltas of an earlier leader to the state of a later one', () => {
    const earlier = new SilentBackendTracker();
    const later = new SilentBackendTracker();
    const held = new BackendCache();
    const directory = new Directory();
    for (const name of [0, 1]) {
      directory.commit({ kind: 'register-backend', registration: backendOf(name, 1, 'ready') });
    }
    directory.ask(0, 0);
    held.apply(directory.pending[0]!.update);
    const silentIds = (): string[] =>
      held
        .records()
        .filter(({ isSilent }) => isSilent)
        .map(({ id }) => id);

    earlier.update(new Set(['i-0@1']));
    const ofEarlier = earlier.updateSince(held.silence, 1);
    held.applySilenceDelta(unpackJson(ofEarlier));
    expect(silentIds()).toEqual(['i-0@1']);
    // The same count of another leader is a different version.
    later.update(new Set(['i-1@1']));
    expect(later.hasUpdateFor(held.silence, 2)).toBe(true);
    held.applySilenceDelta(unpackJson(later.updateSince(held.silence, 2)));
    expect(silentIds()).toEqual(['i-1@1']);
    // A late response of the deposed leader is ignored, and it has no further update.
    held.applySilenceDelta(unpackJson(ofEarlier));
    expect(silentIds()).toEqual(['i-1@1']);
    expect(earlier.hasUpdateFor(held.silence, 1)).toBe(false);
  });

  it('holds the silent backends of a single version after changes, new terms, lost and late responses', () => {
    const update = fc.record({
      silent: fc.uniqueArray(number),
      isNewTerm: fc.boolean(),
      fate: fc.constantFrom('arrives', 'lost', 'arrives late' as const),
      late: fc.nat(9),
    });
    fc.assert(
      fc.property(fc.array(update, { maxLength: 60 }), (updates) => {
        const silence = new WatchedSilence();
        const delayed: SilenceDelta[] = [];
        for (const { silent, isNewTerm, fate, late } of updates) {
          if (isNewTerm) silence.beginTerm();
          silence.update(silent);
          const response = silence.ask();
          if (response && fate === 'arrives') silence.take(response);
          if (response && fate === 'arrives late') delayed.push(response);
          const overdue = delayed[late];
          if (overdue) silence.take(overdue);
        }
        const last = silence.ask();
        if (last) silence.take(last);
        expect(silence.heldText()).toBe(silence.leaderText());
      }),
      { numRuns: RUNS },
    );
  });

  it('ignores a delta from a later index than its own', () => {
    const directory = new Directory();
    for (const which of [0, 1, 2]) {
      directory.commit({ kind: 'register-backend', registration: backendOf(which, 1, 'ready') });
    }
    const { backendUpdates } = directory.members[0]!;
    directory.deliver({ watcher: 0, update: backendUpdates.updateSince(1) });
    expect(directory.watchers[0]!.index).toBe(0);
  });

  it('that starts gets the cached list and a delta', () => {
    const directory = new Directory();
    directory.commit({ kind: 'register-backend', registration: backendOf(0, 1, 'ready') });
    const { backendUpdates } = directory.members[0]!;
    const [list] = backendUpdates.updateSince(0).pieces;
    directory.commit({ kind: 'register-backend', registration: backendOf(1, 1, 'ready') });
    const [first, second] = [backendUpdates.updateSince(0), backendUpdates.updateSince(0)];
    expect(first.pieces[0]).toBe(list);
    expect(first.pieces).toHaveLength(2);
    expect(second.pieces[1]).toBe(first.pieces[1]);
    directory.deliver({ watcher: 0, update: first });
    expect(directory.watchers[0]!.index).toBe(2);
  });

  it('shares packed deltas with other watchers at the same index', () => {
    const directory = new Directory();
    directory.commit({ kind: 'register-backend', registration: backendOf(0, 1, 'ready') });
    directory.commit({ kind: 'register-backend', registration: backendOf(1, 1, 'ready') });
    const { backendUpdates } = directory.members[0]!;
    expect(backendUpdates.updateSince(1).pieces[0]).toBe(backendUpdates.updateSince(1).pieces[0]);
  });
});
