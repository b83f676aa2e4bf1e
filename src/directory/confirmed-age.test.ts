/** How old what a watcher holds may be, where a leader answers that a majority may have left. */
import { expect, it } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { monotonicMs } from '../common/index.js';
import { createLogger } from '../observability/index.js';
import type { DirectoryClient } from './directory-client.js';
import { DirectoryWatcher } from './directory-watcher.js';
import { type DirectoryView, INITIAL_KNOWN_VERSIONS, type WatchRequest } from './messages.js';

const LEFT_FOR_MS = 2_000;
const node = { name: 'gateway-1', role: 'gateway' as const, address: 'a:1', zone: 'z' };
const request: WatchRequest = { node, known: INITIAL_KNOWN_VERSIONS, isUrgent: true, loads: [] };

it('a leader says for how long no majority has answered it, standstills included', async () => {
  const directory = new CommittingDirectory();
  const leftAt = monotonicMs() - LEFT_FOR_MS;
  Object.assign(directory.group, { quorumContactMs: () => leftAt });
  const { confirmedAgeMs } = await directory.leader.watch(request);
  expect(confirmedAgeMs).toBeGreaterThanOrEqual(LEFT_FOR_MS);
  expect(confirmedAgeMs).toBeLessThan(LEFT_FOR_MS + 500);
});

it('a watcher takes what such a leader tells for that much older than its answer', async () => {
  const view: DirectoryView = { confirmedAgeMs: LEFT_FOR_MS };
  let answers = 0;
  const client = {
    watch: () =>
      new Promise((resolve) => setTimeout(() => resolve(view), 5)).finally(() => answers++),
  } as unknown as DirectoryClient;
  const watcher = new DirectoryWatcher({
    client,
    announce: () => node,
    logger: createLogger({ level: 'silent' }),
  });
  expect(watcher.confirmedAgeMs).toBe(Infinity);
  watcher.start();
  await waitUntil('answered', () => answers > 2, 2_000);
  watcher.stop();
  expect(watcher.leaderContactAgeMs).toBeLessThan(LEFT_FOR_MS / 2);
  expect(watcher.confirmedAgeMs).toBeGreaterThanOrEqual(LEFT_FOR_MS);
});
