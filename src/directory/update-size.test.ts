/** Guards against updates that grow with the number of backends: each change must be sent as a delta. */
import { expect, it, onTestFinished } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
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
const CHANGES = 20;
/** Allows for longer numbers and one request more or less. */
const MAX_GROWTH = 1.5;

function backend(number: number, sequence: number): ReturnType<typeof sampleRegistration> {
  return sampleRegistration({ name: `i-${number}`, address: `10.0.0.1:${number + 1}`, sequence });
}

/** Bytes that one gateway receives while backends change one after the other. */
async function bytesOfChanges(backends: number): Promise<number> {
  const directory = new CommittingDirectory();
  const router = new MethodRouter();
  registerDirectoryService(router, directory.leader, () => directory.group);
  const server = await RpcServer.start({ host: HOST, port: 0, secret: SECRET, router });
  onTestFinished(() => server.close());
  for (let number = 0; number < backends; number += 1) {
    await directory.leader.recordHeartbeat(backend(number, 1));
  }

  const peers = new PeerDirectory({
    ownName: 'gateway-1',
    secret: SECRET,
    router: new MethodRouter(),
    resolveAddress: (address) => address,
  });
  onTestFinished(() => peers.close());
  let held: readonly BackendRecord[] = [];
  const watcher = new DirectoryWatcher({
    client: new DirectoryClient(new GroupClient({ peers, addresses: [`${HOST}:${server.port}`] })),
    announce: () => ({ name: 'gateway-1', role: 'gateway', address: 'g:1', zone: 'z' }),
    logger: createLogger({}),
    onBackends: (records) => (held = records),
  });
  watcher.start();
  onTestFinished(() => watcher.stop());
  await waitUntil('all backends held', () => held.length === backends);

  const before = peers.totalTraffic.received;
  for (let number = 0; number < CHANGES; number += 1) {
    await directory.leader.recordHeartbeat({ ...backend(number, 2), service: 'next' });
    const holds = (): boolean =>
      held.some(({ name, service }) => name === `i-${number}` && service === 'next');
    await waitUntil('change held', holds);
  }
  watcher.stop();
  return peers.totalTraffic.received - before;
}

it('the size of an update does not grow with the number of backends', async () => {
  const few = await bytesOfChanges(100);
  const many = await bytesOfChanges(1_000);
  expect(many).toBeLessThan(few * MAX_GROWTH);
});
