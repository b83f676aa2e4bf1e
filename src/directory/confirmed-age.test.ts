/** Age of a watcher's state when its leader may have lost its quorum. */
import { expect, it } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { monotonicMs } from '../common/index.js';
import { createLogger } from '../observability/index.js';
import type { DirectoryClient } from './directory-client.js';
import { DirectoryWatcher } from './directory-watcher.js';
import { type DirectoryView, INITIAL_KNOWN_VERSIONS, type WatchRequest } from './messages.js';

const QUORUM_LOST_MS = 2_000;
const node = { name: 'gateway-1', role: 'gateway' as const, address: 'a:1', zone: 'z' };
const request: WatchRequest = { node, known: INITIAL_KNOWN_VERSIONS, isUrgent: true, loads: [] };

it('a leader reports the time since its last quorum contact, including stalls', async () => {
  const directory = new CommittingDirectory();
  const quorumLostAt = monotonicMs() - QUORUM_LOST_MS;
  Object.assign(directory.group, { quorumContactMs: () => quorumLostAt });
  const { confirmedAgeMs } = await directory.leader.watch(request);
  expect(confirmedAgeMs).toBeGreaterThanOrEqual(QUORUM_LOST_MS);
  expect(confirmedAgeMs).toBeLessThan(QUORUM_LOST_MS + 500);
});

it('a watcher adds the reported age to the age of the response', async () => {
  const view: DirectoryView = { confirmedAgeMs: QUORUM_LOST_MS };
  let responses = 0;
  const client = {
    watch: () =>
      new Promise((resolve) => setTimeout(() => resolve(view), 5)).finally(() => responses++),
  } as unknown as DirectoryClient;
  const watcher = new DirectoryWatcher({
    client,
    announce: () => node,
    logger: createLogger({ level: 'silent' }),
  });
  expect(watcher.confirmedAgeMs).toBe(Infinity);
  watcher.start();
  await waitUntil('enough responses', () => responses > 2, 2_000);
  watcher.stop();
  expect(watcher.leaderContactAgeMs).toBeLessThan(QUORUM_LOST_MS / 2);
  expect(watcher.confirmedAgeMs).toBeGreaterThanOrEqual(QUORUM_LOST_MS);
});
