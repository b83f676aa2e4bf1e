/**
 * Guards against watchers that depend on the leader alone: while it is unresponsive, a committed drain or
 * configuration must reach them through another member.
 */
import { expect, it, onTestFinished } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import { DelayRelay } from '../../tests/support/delay-relay.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { watchDirectory } from '../../tests/support/watched-directory.js';
import { MethodRouter, RpcServer } from '../wire/index.js';
import { registerDirectoryService } from './directory-service.js';

const SECRET = 'a-secret-of-the-test';
const HOST = '127.0.0.1';
/** Longer than the test takes, in milliseconds. */
const ENDLESS_DELAY_MS = 30_000;
/** Well below the 2 s within which gateways must apply an acknowledged drain. */
const HELD_WITHIN_MS = 1_200;

async function serve(directory: CommittingDirectory): Promise<number> {
  const router = new MethodRouter();
  registerDirectoryService(router, directory.leader, () => directory.group);
  const server = await RpcServer.start({ host: HOST, port: 0, secret: SECRET, router });
  onTestFinished(() => server.close());
  return server.port;
}

it('a gateway gets committed updates from other members while the leader is unresponsive', async () => {
  let leaderAddress = '';
  const followers = [1, 2].map(
    () => new CommittingDirectory({ leaderAddress: () => leaderAddress }),
  );
  const directory = new CommittingDirectory({ followers });
  const relay = await DelayRelay.start(await serve(directory));
  leaderAddress = relay.address;
  const ports = await Promise.all(followers.map(serve));
  const addresses = [...ports.map((port) => `${HOST}:${port}`), leaderAddress];
  const held = watchDirectory(addresses, SECRET);

  await directory.put(1);
  await directory.leader.recordHeartbeat(sampleRegistration());
  await waitUntil('first update held', () => held.generation === 1 && held.backends.length === 1);

  relay.delayMs = ENDLESS_DELAY_MS;
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
