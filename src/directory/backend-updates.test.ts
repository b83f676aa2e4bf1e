/** What those who follow the directory hold of its back ends, whatever happens to the answers on their way. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import { encodeValue } from '../wire/index.js';
import type { BackendUpdate } from './backend-updates.js';
import type { BackendRegistration } from './backend-registration.js';
import { ChangeHistory } from './change-history.js';
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
const FOLLOWERS = 2;
/** So few that followers are often too far behind for changes. */
const KEPT_CHANGES = 3;
const NAMES = 5;
const RUNS = 300;
const MOST_STEPS = 400;

type Step =
  | { kind: 'commit'; command: DirectoryCommand }
  | { kind: 'apply'; member: number }
  | { kind: 'reinstall'; member: number }
  | { kind: 'ask'; follower: number; member: number }
  | { kind: 'deliver'; which: number }
  | { kind: 'lose'; which: number };

interface Answer {
  follower: number;
  news: BackendUpdate;
}

function newMember(): DirectoryStateMachine {
  return new DirectoryStateMachine(() => undefined, new ChangeHistory(KEPT_CHANGES));
}

/** A replicated log that members apply at their own pace, and followers that ask any of them. */
class Directory {
  readonly log: DirectoryCommand[] = [];
  readonly members = Array.from({ length: MEMBERS }, newMember);
  readonly followers = Array.from({ length: FOLLOWERS }, () => new BackendCache());
  /** Answers that are still on their way. */
  readonly open: Answer[] = [];
  /** What the back ends were at each log index at which they changed, and at none. */
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

  /** A member that lags gets the first one's snapshot in place of the log. */
  reinstall(member: number): void {
    this.members[member]!.restore(Buffer.concat([...this.members[0]!.snapshot()]));
    this.applied[member] = this.log.length;
  }

  ask(follower: number, member: number): void {
    const { index } = this.followers[follower]!;
    const { backendsIndex, backendUpdates } = this.members[member]!;
    if (backendsIndex > index)
      this.open.push({ follower, news: backendUpdates.updateSince(index) });
  }

  deliver({ follower, news }: Answer): void {
    const held = this.followers[follower]!;
    const before = held.index;
    held.apply(news);
    expect(held.index).toBeGreaterThanOrEqual(before);
    expect(textOf(held.records())).toBe(this.states.get(held.index));
  }

  run(step: Step): void {
    if (step.kind === 'commit') this.commit(step.command);
    else if (step.kind === 'apply') this.apply(step.member);
    else if (step.kind === 'reinstall') this.reinstall(step.member);
    else if (step.kind === 'ask') this.ask(step.follower, step.member);
    else this.takeOpen(step.which, step.kind === 'deliver');
  }

  private takeOpen(which: number, arrives: boolean): void {
    if (this.open.length === 0) return;
    const [answer] = this.open.splice(which % this.open.length, 1);
    if (arrives) this.deliver(answer!);
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
  // Two names share an address, so that one start takes another back end out.
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
const follower = fc.nat(FOLLOWERS - 1);
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
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('ask' as const), follower, member }) },
  { weight: 3, arbitrary: fc.nat(9).map((which) => ({ kind: 'deliver' as const, which })) },
  { weight: 1, arbitrary: fc.nat(9).map((which) => ({ kind: 'lose' as const, which })) },
);

/** A follower of leaders, one term after the other, that tell which back ends are silent. */
class FollowedSilence {
  private readonly board = new SilentBackendTracker();
  private readonly held = new BackendCache();
  /** Which were silent at each version. */
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
    this.board.clear();
  }

  update(silent: number[]): void {
    const registered = silent.filter((which) => which < NAMES - 1);
    this.board.update(new Set(registered.map((which) => backendOf(which, 1, 'ready').id)));
  }

  ask(): SilenceDelta | undefined {
    if (!this.board.hasUpdateFor(this.held.silence, this.term)) return undefined;
    const changes = unpackJson<SilenceDelta>(this.board.updateSince(this.held.silence, this.term));
    this.states.set(keyOf(changes.version), this.leaderText());
    return changes;
  }

  take(changes: SilenceDelta): void {
    this.held.applySilenceDelta(changes);
    expect(this.heldText()).toBe(this.states.get(keyOf(this.held.silence)));
  }

  leaderText(): string {
    return [...this.board.ids].sort().join(' ');
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

describe('a follower of the directory', () => {
  it('holds the back ends of one log index, whoever answers, whatever is lost or late', () => {
    fc.assert(
      fc.property(fc.array(step, { minLength: MOST_STEPS / 2, maxLength: MOST_STEPS }), (steps) => {
        const directory = new Directory();
        for (const next of steps) directory.run(next);
        // In the end all answers arrive, and each follower asks a leader that holds everything.
        for (const answer of directory.open.splice(0)) directory.deliver(answer);
        for (const which of directory.followers.keys()) directory.ask(which, 0);
        for (const answer of directory.open.splice(0)) directory.deliver(answer);
        const [leader] = directory.members;
        for (const held of directory.followers) {
          expect(held.index).toBe(leader!.backendsIndex);
          expect(textOf(held.records())).toBe(textOf([...leader!.backends.values()]));
        }
      }),
      { numRuns: RUNS },
    );
  });

  it('takes nothing of an earlier leader for what follows on a later one', () => {
    const earlier = new SilentBackendTracker();
    const later = new SilentBackendTracker();
    const held = new BackendCache();
    const directory = new Directory();
    for (const name of [0, 1]) {
      directory.commit({ kind: 'register-backend', registration: backendOf(name, 1, 'ready') });
    }
    directory.ask(0, 0);
    held.apply(directory.open[0]!.news);
    const silentIds = (): string[] =>
      held
        .records()
        .filter(({ isSilent }) => isSilent)
        .map(({ id }) => id);

    earlier.update(new Set(['i-0@1']));
    const ofEarlier = earlier.updateSince(held.silence, 1);
    held.applySilenceDelta(unpackJson(ofEarlier));
    expect(silentIds()).toEqual(['i-0@1']);
    // The same count of another leader stands for something else.
    later.update(new Set(['i-1@1']));
    expect(later.hasUpdateFor(held.silence, 2)).toBe(true);
    held.applySilenceDelta(unpackJson(later.updateSince(held.silence, 2)));
    expect(silentIds()).toEqual(['i-1@1']);
    // An answer of the deposed one comes late, and it has no more to tell.
    held.applySilenceDelta(unpackJson(ofEarlier));
    expect(silentIds()).toEqual(['i-1@1']);
    expect(earlier.hasUpdateFor(held.silence, 1)).toBe(false);
  });

  it('holds the silent back ends of one version after changes, new terms, lost and late answers', () => {
    const update = fc.record({
      silent: fc.uniqueArray(number),
      begins: fc.boolean(),
      fate: fc.constantFrom('arrives', 'lost', 'arrives late' as const),
      late: fc.nat(9),
    });
    fc.assert(
      fc.property(fc.array(update, { maxLength: 60 }), (updates) => {
        const silence = new FollowedSilence();
        const answers: SilenceDelta[] = [];
        for (const { silent, begins, fate, late } of updates) {
          if (begins) silence.beginTerm();
          silence.update(silent);
          const answer = silence.ask();
          if (answer && fate === 'arrives') silence.take(answer);
          if (answer && fate === 'arrives late') answers.push(answer);
          const overdue = answers[late];
          if (overdue) silence.take(overdue);
        }
        const last = silence.ask();
        if (last) silence.take(last);
        expect(silence.heldText()).toBe(silence.leaderText());
      }),
      { numRuns: RUNS },
    );
  });

  it('takes no changes that follow on something it does not hold', () => {
    const directory = new Directory();
    for (const which of [0, 1, 2]) {
      directory.commit({ kind: 'register-backend', registration: backendOf(which, 1, 'ready') });
    }
    const { backendUpdates } = directory.members[0]!;
    directory.deliver({ follower: 0, news: backendUpdates.updateSince(1) });
    expect(directory.followers[0]!.index).toBe(0);
  });

  it('that starts gets a list that was packed for others, and what has changed since', () => {
    const directory = new Directory();
    directory.commit({ kind: 'register-backend', registration: backendOf(0, 1, 'ready') });
    const { backendUpdates } = directory.members[0]!;
    const [list] = backendUpdates.updateSince(0).pieces;
    directory.commit({ kind: 'register-backend', registration: backendOf(1, 1, 'ready') });
    const [first, second] = [backendUpdates.updateSince(0), backendUpdates.updateSince(0)];
    expect(first.pieces[0]).toBe(list);
    expect(first.pieces).toHaveLength(2);
    expect(second.pieces[1]).toBe(first.pieces[1]);
    directory.deliver({ follower: 0, news: first });
    expect(directory.followers[0]!.index).toBe(2);
  });

  it('shares packed changes with all that hold the same', () => {
    const directory = new Directory();
    directory.commit({ kind: 'register-backend', registration: backendOf(0, 1, 'ready') });
    directory.commit({ kind: 'register-backend', registration: backendOf(1, 1, 'ready') });
    const { backendUpdates } = directory.members[0]!;
    expect(backendUpdates.updateSince(1).pieces[0]).toBe(backendUpdates.updateSince(1).pieces[0]);
  });
});
