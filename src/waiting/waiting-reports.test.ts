/** Exchange of waiting counts over the directory's leader. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { INITIAL_KNOWN_VERSIONS, type WatchRequest } from '../directory/index.js';
import { WaitingReporter } from './waiting-reporter.js';
import { WaitingReportStore } from './waiting-reports.js';

const TTL_MS = 1_500;

beforeEach(() => vi.useFakeTimers({ toFake: ['performance'] }));
afterEach(() => vi.useRealTimers());

describe('the leader', () => {
  it('tells each gateway the sum of the others', () => {
    const store = new WaitingReportStore();
    store.report('a', [{ service: 'x', calls: 2 }]);
    store.report('b', [
      { service: 'x', calls: 3 },
      { service: 'y', calls: 1 },
    ]);
    expect(store.viewFor('a')).toEqual([
      { service: 'x', calls: 3 },
      { service: 'y', calls: 1 },
    ]);
    expect(store.viewFor('b')).toEqual([{ service: 'x', calls: 2 }]);
  });

  it('is not misled by repeated reports, and keeps the last if none is sent', () => {
    const store = new WaitingReportStore();
    for (let round = 0; round < 3; round += 1) store.report('a', [{ service: 'x', calls: 2 }]);
    store.report('a', undefined);
    expect(store.viewFor('b')).toEqual([{ service: 'x', calls: 2 }]);
    store.report('a', []);
    expect(store.viewFor('b')).toBeUndefined();
  });

  // The calls of a dead gateway have ended, but would keep its share of the places from the others.
  it('forgets a gateway that has died', () => {
    const store = new WaitingReportStore();
    store.report('a', [{ service: 'x', calls: 2 }]);
    vi.advanceTimersByTime(TTL_MS + 1);
    expect(store.viewFor('b')).toBeUndefined();
  });

  it('ignores counts that no gateway can have', () => {
    const store = new WaitingReportStore();
    for (const calls of [-5, 0.5, NaN, Infinity, 100_000]) {
      store.report('liar', [{ service: 'x', calls }]);
      expect(store.viewFor('b')).toBeUndefined();
    }
  });

  // Each entry may be possible while their total exceeds the queue.
  it('ignores a report whose total no gateway can have', () => {
    const store = new WaitingReportStore();
    const half = { service: 'x', calls: 129 };
    store.report('liar', [half, half]);
    expect(store.viewFor('b')).toBeUndefined();
    store.report('liar', [half, { service: 'y', calls: 129 }]);
    expect(store.viewFor('b')).toBeUndefined();
  });

  it('adds repeated entries of a service', () => {
    const store = new WaitingReportStore();
    store.report('a', [
      { service: 'x', calls: 2 },
      { service: 'x', calls: 3 },
    ]);
    expect(store.viewFor('b')).toEqual([{ service: 'x', calls: 5 }]);
    expect(store.viewFor('a')).toBeUndefined();
  });
});

describe('a gateway', () => {
  it('reports at most once in 0.4 s, and nothing if no call has waited', () => {
    const reporter = new WaitingReporter();
    const counts = [{ service: 'x', calls: 1 }];
    expect(reporter.report([], 0)).toBeUndefined();
    expect(reporter.report(counts, 200)).toEqual(counts);
    expect(reporter.report(counts, 400)).toBeUndefined();
    expect(reporter.report(counts, 600)).toEqual(counts);
  });

  it('repeats that no call waits until the leader has dropped its last count', () => {
    const reporter = new WaitingReporter();
    reporter.report([{ service: 'x', calls: 1 }], 0);
    expect(reporter.report([], 400)).toEqual([]);
    expect(reporter.report([], TTL_MS + 100)).toEqual([]);
    expect(reporter.report([], 5_000)).toBeUndefined();
  });
});

describe('watch requests', () => {
  function requestOf(name: string, waiting?: WatchRequest['waiting']): WatchRequest {
    const node = { name, role: 'gateway' as const, address: 'a:1', zone: 'z' };
    return { node, known: INITIAL_KNOWN_VERSIONS, isUrgent: true, loads: [], waiting };
  }

  it('carry the counts, until the leadership changes', async () => {
    const { leader } = new CommittingDirectory();
    const counts = [{ service: 'x', calls: 4 }];
    await leader.watch(requestOf('a', counts));
    expect((await leader.watch(requestOf('b'))).waiting).toEqual(counts);
    expect(await leader.watch(requestOf('a'))).not.toHaveProperty('waiting');
    leader.onLeadershipChange();
    expect(await leader.watch(requestOf('b'))).not.toHaveProperty('waiting');
  });
});
