/**
 * Regression test: after a change of leader, a relay sent an entry of the new term on behalf of the
 * previous leader.
 */
import { expect, it, onTestFinished } from 'vitest';
import { sleep } from '../common/index.js';
import type { LogEntry } from '../log-store/index.js';
import type { Member } from './configuration.js';
import { LearnerRelays, type RelayingMember } from './learner-relays.js';
import type { AppendRequest } from './messages.js';
import { createReplicationTraffic } from './replication-traffic.js';

function memberOf(id: string, role: Member['role']): Member {
  return { id, name: id, address: id, role };
}

function entryOf(index: number, term: number): LogEntry {
  return { index, term, kind: 'command', data: new Uint8Array([index]) };
}

/** A voter that relays entries to a learner, and the requests that it sends. */
class Follower {
  readonly group = 'g';
  readonly ownId = 'a-voter';
  readonly isFollower = true;
  readonly heartbeatIntervalMs = 10;
  readonly traffic = createReplicationTraffic();
  readonly configuration = {
    members: [
      memberOf('old', 'voter'),
      memberOf('new', 'voter'),
      memberOf('a-voter', 'voter'),
      memberOf('x', 'learner'),
    ],
  };
  readonly sent: AppendRequest[] = [];
  readonly entries = [entryOf(1, 1)];
  leaderId = 'old';
  term = 1;

  get commitIndex(): number {
    return this.entries.length;
  }

  get log() {
    const { entries } = this;
    return {
      lastIndex: entries.length,
      compactedTo: { index: 0, term: 0 },
      termAt: (index: number) => entries[index - 1]?.term,
      slice: (from: number) => entries.filter(({ index }) => index >= from),
      openSnapshot: () => Promise.resolve(undefined),
    };
  }

  call = (_member: Member, _method: unknown, request: AppendRequest): Promise<unknown> => {
    this.sent.push(request);
    const matchIndex = request.previousIndex + request.entries.length;
    return Promise.resolve({ term: request.term, success: true, matchIndex, isFull: false });
  };
}

it('a relay sends no entries of a later term on behalf of the previous leader', async () => {
  const follower = new Follower();
  const relays = new LearnerRelays(follower as unknown as RelayingMember);
  onTestFinished(() => relays.stop());
  relays.update();
  await sleep(60);
  expect(follower.sent.at(-1)).toMatchObject({ from: 'old', term: 1 });

  follower.leaderId = 'new';
  follower.term = 2;
  follower.entries.push(entryOf(2, 2));
  relays.notify();
  await sleep(40);
  const wrong = follower.sent.filter(({ term, entries }) =>
    entries.some((entry) => entry.term > term),
  );
  expect(wrong).toEqual([]);

  relays.update();
  await sleep(60);
  expect(follower.sent.at(-1)).toMatchObject({ from: 'new', term: 2 });
});
