/**
 * Guards against a leader that responds to all watchers in one turn of its event loop after a change, which delays
 * heartbeats and votes and can cost it its leadership.
 */
import { expect, it, onTestFinished } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { type KnownVersions, INITIAL_KNOWN_VERSIONS } from './messages.js';
import { unpackJson } from './packed-json.js';
import type { SilenceDelta } from './silent-backend-tracker.js';

const WATCHERS = 90;
const MAX_RESPONSES_PER_TURN = 8;

/** Counts the events in each turn of the event loop. */
class TurnCounter {
  maximum = 0;
  private currentTurn = 0;
  private isStopped = false;

  constructor() {
    this.nextTurn();
  }

  count(): void {
    this.currentTurn += 1;
    this.maximum = Math.max(this.maximum, this.currentTurn);
  }

  stop(): void {
    this.isStopped = true;
  }

  private nextTurn(): void {
    this.currentTurn = 0;
    if (!this.isStopped) setImmediate(() => this.nextTurn());
  }
}

it('spreads the responses to watchers over several turns of the event loop', async () => {
  const directory = new CommittingDirectory();
  const watch = async (name: string, known: KnownVersions, isUrgent: boolean) =>
    directory.leader.watch({
      node: { name, role: 'gateway', address: `${name}:1`, zone: 'z' },
      known,
      isUrgent,
      loads: [],
    });
  const names = Array.from({ length: WATCHERS }, (_, index) => `gateway-${index}`);
  for (const name of names) await watch(name, INITIAL_KNOWN_VERSIONS, true);
  const first = await watch(names[0]!, INITIAL_KNOWN_VERSIONS, true);
  const known: KnownVersions = {
    ...INITIAL_KNOWN_VERSIONS,
    silence: unpackJson<SilenceDelta>(first.silence!).version,
    cluster: first.cluster!.version,
  };

  const turns = new TurnCounter();
  onTestFinished(() => turns.stop());
  const responses = names.map(async (name) => {
    const view = await watch(name, known, false);
    turns.count();
    return view;
  });
  void directory.put(1);
  const views = await Promise.all(responses);
  expect(views.filter((view) => view.configuration !== undefined)).toHaveLength(WATCHERS);
  expect(turns.maximum).toBeLessThanOrEqual(MAX_RESPONSES_PER_TURN);
});
