/** A version whose backends have left must count until no stream that it began can be resumed. */
import { expect, it } from 'vitest';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import { encodeValue } from '../wire/index.js';
import type { BackendRegistration } from './backend-registration.js';
import type { DirectoryCommand } from './directory-commands.js';
import { DirectoryStateMachine } from './directory-state-machine.js';
import { RecentVersions } from './recent-versions.js';

const WITHIN_MS = 1_000;
const SERVICE = 's';

function backendOf(id: string, softwareVersion?: string): BackendRegistration {
  return sampleRegistration({
    id,
    name: id,
    address: `${id}:1`,
    service: SERVICE,
    softwareVersion,
  });
}

function at(now: { ms: number }): RecentVersions {
  return new RecentVersions(() => now.ms);
}

function labelsOf(recent: RecentVersions, registered: BackendRegistration[] = []): string[] {
  const { versions } = recent.of([SERVICE], registered, WITHIN_MS);
  return versions.map(({ id, softwareVersion }) => softwareVersion ?? id).sort();
}

it('counts a removed version for a time', () => {
  const now = { ms: 0 };
  const recent = at(now);
  recent.noteRemoved(backendOf('a', 'v1'));
  now.ms = WITHIN_MS;
  expect(labelsOf(recent, [backendOf('b', 'v2'), backendOf('c', 'v2')])).toEqual(['v1', 'v2']);
  now.ms += 1;
  expect(labelsOf(recent, [backendOf('b', 'v2')])).toEqual(['v2']);
});

it('counts backends without a version each by itself, and no other service', () => {
  const recent = at({ ms: 0 });
  recent.noteRemoved(backendOf('a'));
  recent.noteRemoved({ ...backendOf('x', 'v9'), service: 'other' });
  expect(labelsOf(recent, [backendOf('b'), backendOf('c', 'v1')])).toEqual(['a', 'b', 'v1']);
});

it('does not claim to know all versions after a snapshot, or after more removals than it holds', () => {
  const now = { ms: 0 };
  const recent = at(now);
  const isComplete = (): boolean => recent.of([SERVICE], [], WITHIN_MS).isComplete;
  expect(isComplete()).toBe(true);
  recent.reset();
  expect(isComplete()).toBe(false);
  now.ms = WITHIN_MS + 1;
  expect(isComplete()).toBe(true);
  for (let index = 0; index <= 1_000; index += 1) recent.noteRemoved(backendOf(`e${index}`));
  expect(isComplete()).toBe(false);
});

it('is kept by the members of the directory', () => {
  const state = new DirectoryStateMachine();
  let index = 0;
  const run = (command: DirectoryCommand): unknown =>
    state.apply(encodeValue(command), (index += 1));
  const register = (registration: BackendRegistration): unknown =>
    run({ kind: 'register-backend', registration });
  const versions = (): (string | undefined)[] =>
    state
      .versionsOf([SERVICE], WITHIN_MS)
      .versions.map(({ softwareVersion }) => softwareVersion)
      .sort();
  register(backendOf('a', 'v1'));
  register({ ...backendOf('a', 'v1'), phase: 'draining', sequence: 2 });
  expect(versions()).toEqual(['v1']);
  run({ kind: 'remove-backend', id: 'a', hasDeparted: true });
  register(backendOf('b', 'v2'));
  register({ ...backendOf('b', 'v3'), sequence: 2 });
  expect(versions()).toEqual(['v1', 'v2', 'v3']);
  const restored = new DirectoryStateMachine();
  restored.restore(Buffer.concat([...state.snapshot()]));
  expect(restored.versionsOf([SERVICE], WITHIN_MS)).toMatchObject({ isComplete: false });
});
