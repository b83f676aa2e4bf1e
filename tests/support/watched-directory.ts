/** What a gateway holds of a directory that it follows over real links, for tests. */
import { onTestFinished } from 'vitest';
import { GroupClient, PeerDirectory } from '../../src/consensus/index.js';
import {
  type BackendRecord,
  DirectoryClient,
  DirectoryWatcher,
} from '../../src/directory/index.js';
import { createLogger } from '../../src/observability/index.js';
import { MethodRouter } from '../../src/wire/index.js';

export interface WatchedState {
  /** Of the configuration; 0 before the first. */
  generation: number;
  backends: readonly BackendRecord[];
}

/**
 * Follows the directory until the test is over.
 * @param addresses of its members
 */
export function watchDirectory(addresses: string[], secret: string): WatchedState {
  const peers = new PeerDirectory({
    ownName: 'gateway-1',
    secret,
    router: new MethodRouter(),
    resolveAddress: (address) => address,
  });
  onTestFinished(() => peers.close());
  const held: WatchedState = { generation: 0, backends: [] };
  const watcher = new DirectoryWatcher({
    client: new DirectoryClient(new GroupClient({ peers, addresses })),
    announce: () => ({ name: 'gateway-1', role: 'gateway', address: 'g:1', zone: 'z' }),
    logger: createLogger({}),
    onConfiguration: ({ generation }) => (held.generation = generation),
    onBackends: (backends) => (held.backends = backends),
  });
  watcher.start();
  onTestFinished(() => watcher.stop());
  return held;
}
