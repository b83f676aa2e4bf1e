/** Watches a directory over real connections, like a gateway. */
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
  /** Generation of the configuration; 0 before the first one. */
  generation: number;
  backends: readonly BackendRecord[];
}

/**
 * Watches the directory until the end of the test.
 * @param addresses addresses of the directory members
 */
export function watchDirectory(addresses: string[], secret: string): WatchedState {
  const peers = new PeerDirectory({
    ownName: 'gateway-1',
    secret,
    router: new MethodRouter(),
    resolveAddress: (address) => address,
  });
  onTestFinished(() => peers.close());
  const state: WatchedState = { generation: 0, backends: [] };
  const watcher = new DirectoryWatcher({
    client: new DirectoryClient(new GroupClient({ peers, addresses })),
    announce: () => ({ name: 'gateway-1', role: 'gateway', address: 'g:1', zone: 'z' }),
    logger: createLogger({}),
    onConfiguration: ({ generation }) => (state.generation = generation),
    onBackends: (backends) => (state.backends = backends),
  });
  watcher.start();
  onTestFinished(() => watcher.stop());
  return state;
}
