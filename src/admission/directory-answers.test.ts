/** Demand and decisions in the watch requests and answers of the real directory leader. */
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import { INITIAL_KNOWN_VERSIONS, type WatchRequest } from '../directory/index.js';
import type { DemandReport } from './messages.js';

const WARM_UP_MS = 500;
const GATEWAYS = ['g1', 'g2', 'g3'];

beforeEach(() => vi.useFakeTimers({ toFake: ['performance'] }));
afterEach(() => vi.useRealTimers());

function watchOf(name: string, demand?: DemandReport | null): WatchRequest {
  const request: WatchRequest = {
    node: { name, role: 'gateway', address: 'a:1', zone: 'z' },
    known: INITIAL_KNOWN_VERSIONS,
    isUrgent: true,
    loads: [],
  };
  return demand === undefined ? request : { ...request, demand };
}

function fullDemand(): DemandReport {
  const priorities = [{ priority: 0, sessions: 4, offered: [] }];
  return [{ service: 's', inFlight: 4, priorities }];
}

async function createDirectory(): Promise<CommittingDirectory> {
  const directory = new CommittingDirectory();
  await directory.leader.recordHeartbeat(sampleRegistration({ service: 's', slots: 4 }));
  return directory;
}

it('answers gateways in coordinated mode with the decision', async () => {
  const { leader } = await createDirectory();
  for (const name of GATEWAYS) {
    expect((await leader.watch(watchOf(name, fullDemand()))).admission).toBeUndefined();
  }
  vi.advanceTimersByTime(WARM_UP_MS);
  const { admission } = await leader.watch(watchOf('g1', null));
  expect(admission).toMatchObject([{ service: 's', priorities: [{ priority: 0, fraction: 0 }] }]);
});

it('decides nothing right after a change of leadership', async () => {
  const { leader } = await createDirectory();
  for (const name of GATEWAYS) await leader.watch(watchOf(name, fullDemand()));
  vi.advanceTimersByTime(WARM_UP_MS);
  leader.onLeadershipChange();
  expect((await leader.watch(watchOf('g1', fullDemand()))).admission).toBeUndefined();
});

// Every byte of an answer must stay as it is in independent mode.
it('adds nothing to answers for gateways in independent mode', async () => {
  const { leader } = await createDirectory();
  for (const name of GATEWAYS) await leader.watch(watchOf(name));
  vi.advanceTimersByTime(WARM_UP_MS);
  expect(await leader.watch(watchOf('g1'))).not.toHaveProperty('admission');
});
