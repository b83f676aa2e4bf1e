/**
 * A back end had said that it leaves, and the control group had acknowledged it; 2.7 s later a gateway
 * that answered other calls within 25 to 92 ms still sent a call there. News of the directory came from
 * its leader alone: while that is silent or behind, the other members, which hold the very entry, only
 * pointed at it. With a leader whose bytes don't arrive, beside two members that have applied the drain and
 * the next configuration, a gateway held neither after 10 s.
 */
import { expect, it, onTestFinished } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import { LateRelay } from '../../tests/support/late-relay.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { GroupClient, PeerDirectory } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import { MethodRouter, RpcServer } from '../wire/index.js';
import type { BackendRecord } from './backend-registration.js';
import { DirectoryClient } from './directory-client.js';
import { registerDirectoryService } from './directory-service.js';
import { DirectoryWatcher } from './directory-watcher.js';

const SECRET = 'a-secret-of-the-test';
const HOST = '127.0.0.1';
/** Longer than the test takes, in milliseconds. */
const NEVER_MS = 30_000;
/** A fraction of the 2 s within which gateways have to obey an acknowledged drain, in milliseconds. */
const HELD_WITHIN_MS = 1_200;

async function serve(directory: CommittingDirectory): Promise<number> {
  const router = new MethodRouter();
  registerDirectoryService(router, directory.leader, () => directory.group);
  const server = await RpcServer.start({ host: HOST, port: 0, secret: SECRET, router });
  onTestFinished(() => server.close());
  return server.port;
}

interface HeldNews {
  generation: number;
  backends: readonly BackendRecord[];
}

function watch(addresses: string[]): HeldNews {
  const peers = new PeerDirectory({
    ownName: 'gateway-1',
    secret: SECRET,
    router: new MethodRouter(),
    resolveAddress: (address) => address,
  });
  onTestFinished(() => peers.close());
  const held: HeldNews = { generation: 0, backends: [] };
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

it('a gateway learns from any member what was committed while the leader is silent', async () => {
  let leaderAddress = '';
  const followers = [1, 2].map(
    () => new CommittingDirectory({ leaderAddress: () => leaderAddress }),
  );
  const directory = new CommittingDirectory({ followers });
  const relay = await LateRelay.start(await serve(directory));
  leaderAddress = relay.address;
  const ports = await Promise.all(followers.map(serve));
  const held = watch([...ports.map((port) => `${HOST}:${port}`), leaderAddress]);

  await directory.put(1);
  await directory.leader.recordHeartbeat(sampleRegistration());
  await waitUntil('first news held', () => held.generation === 1 && held.backends.length === 1);

  relay.delayMs = NEVER_MS;
  void directory.put(2);
  void directory.leader.recordHeartbeat(sampleRegistration({ phase: 'draining', sequence: 2 }));
  const phase = (): string | undefined => held.backends[0]?.phase;
  await waitUntil(
    'drain and next configuration held',
    () => held.generation === 2 && phase() === 'draining',
    HELD_WITHIN_MS,
  );
  expect(held.backends[0]?.isSilent).toBe(false);
});
