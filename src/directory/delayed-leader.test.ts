/**
 * Symptom: a gateway that served calls within milliseconds went on by a configuration 3.4 s after
 * a newer one was acknowledged; acknowledgements took up to 6.9 s.
 * Sequence: the directory's leader was behind by more than the watchers waited for an answer.
 * Cause: every answer came after its watcher had given the question up, asked again, closed the connection for
 * its silence, and given up the handshake of the next one. The leader did all of that work in vain.
 * What settled it: behind a relay that delays the leader's bytes by 0.7 s, a watcher never heard it again
 * and opened a connection every half second.
 */
import { expect, it, onTestFinished } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { LateRelay } from '../../tests/support/late-relay.js';
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
const LATE_MS = 700;
/** Well within the time in which an acknowledged configuration has to be in force, in milliseconds. */
const IN_FORCE_MS = 2_200;
const LATE_FOR_MS = 5_000;
const MOST_CONNECTIONS = 6;

async function serve(router: MethodRouter): Promise<number> {
  const server = await RpcServer.start({ host: HOST, port: 0, secret: SECRET, router });
  onTestFinished(() => server.close());
  return server.port;
}

/** A member that only knows who leads. */
function pointTo(leaderAddress: () => string): MethodRouter {
  const router = new MethodRouter();
  router.handle(WATCH, () => ({ leaderAddress: leaderAddress(), refusal: 'not the leader' }));
  return router;
}

it('a watcher hears a leader whose answers all come late', async () => {
  const directory = new CommittingDirectory();
  const router = new MethodRouter();
  registerDirectoryService(router, directory.leader, () => directory.group);
  const relay = await LateRelay.start(await serve(router));
  const followerPort = await serve(pointTo(() => relay.address));

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
  await waitUntil('first configuration in force', () => held === 1);
  relay.delayMs = LATE_MS;
  const connectionsBefore = relay.connections;
  await sleep(LATE_FOR_MS);
  expect(relay.connections - connectionsBefore).toBeLessThan(MOST_CONNECTIONS);
  void directory.put(2);
  await waitUntil('next configuration in force', () => held === 2, IN_FORCE_MS);
});
