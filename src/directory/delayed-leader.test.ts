/**
 * Guards against a watcher that abandons its request and its connection before a delayed leader responds, and so
 * never applies an update.
 */
import { expect, it, onTestFinished } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { DelayRelay } from '../../tests/support/delay-relay.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';
import { GroupClient, PeerDirectory } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import { MethodRouter, RpcServer } from '../wire/index.js';
import { DirectoryClient } from './directory-client.js';
import { registerDirectoryService } from './directory-service.js';
import { DirectoryWatcher } from './directory-watcher.js';
import { WATCH } from './messages.js';

const SECRET = 'a-secret-of-the-test';
const HOST = '127.0.0.1';
const DELAY_MS = 700;
/** Well within the time limit for applying an acknowledged configuration. */
const APPLIED_WITHIN_MS = 2_200;
const DELAYED_FOR_MS = 5_000;
const MAX_CONNECTIONS = 6;

async function serve(router: MethodRouter): Promise<number> {
  const server = await RpcServer.start({ host: HOST, port: 0, secret: SECRET, router });
  onTestFinished(() => server.close());
  return server.port;
}

/** A member that redirects requests to the leader. */
function redirectTo(leaderAddress: () => string): MethodRouter {
  const router = new MethodRouter();
  router.handle(WATCH, () => ({ leaderAddress: leaderAddress(), refusal: 'not the leader' }));
  return router;
}

it('a watcher applies updates of a leader whose responses are all delayed', async () => {
  const directory = new CommittingDirectory();
  const router = new MethodRouter();
  registerDirectoryService(router, directory.leader, () => directory.group);
  const relay = await DelayRelay.start(await serve(router));
  const followerPort = await serve(redirectTo(() => relay.address));

  const peers = new PeerDirectory({
    ownName: 'gateway-1',
    secret: SECRET,
    router: new MethodRouter(),
    resolveAddress: (address) => address,
  });
  onTestFinished(() => peers.close());
  const addresses = [`${HOST}:${followerPort}`, relay.address];
  let held = 0;
  const watcher = new DirectoryWatcher({
    client: new DirectoryClient(new GroupClient({ peers, addresses })),
    announce: () => ({ name: 'gateway-1', role: 'gateway', address: 'g:1', zone: 'z' }),
    logger: createLogger({}),
    onConfiguration: ({ generation }) => (held = generation),
  });
  watcher.start();
  onTestFinished(() => watcher.stop());

  await directory.put(1);
  await waitUntil('first configuration applied', () => held === 1);
  relay.delayMs = DELAY_MS;
  const connectionsBefore = relay.connections;
  await sleep(DELAYED_FOR_MS);
  expect(relay.connections - connectionsBefore).toBeLessThan(MAX_CONNECTIONS);
  void directory.put(2);
  await waitUntil('next configuration applied', () => held === 2, APPLIED_WITHIN_MS);
});
