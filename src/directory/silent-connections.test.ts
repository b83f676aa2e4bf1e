/**
 * Guards against a watcher that makes only one attempt to replace an unresponsive connection to the leader and then
 * waits for the timeout of its request.
 */
import { describe, expect, it, onTestFinished } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import { SilencingRelay } from '../../tests/support/silencing-relay.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { type WatchedState, watchDirectory } from '../../tests/support/watched-directory.js';
import { MethodRouter, RpcServer } from '../wire/index.js';
import { registerDirectoryService } from './directory-service.js';
import { WATCH } from './messages.js';

const SECRET = 'a-secret-of-the-test';
const HOST = '127.0.0.1';
/**
 * Maximum time from working connections to an applied update: 450 ms to detect the unresponsive connection, 400 ms
 * until the next connection attempt, 150 ms until the request is sent again.
 */
const RECOVERY_MS = 1_000;
const SILENCES_MS = [0, 300, 600, 900, 1_500];

async function serve(router: MethodRouter): Promise<number> {
  const server = await RpcServer.start({ host: HOST, port: 0, secret: SECRET, router });
  onTestFinished(() => server.close());
  return server.port;
}

/** A member that redirects requests to the leader. */
function redirectTo(leaderAddress: string): MethodRouter {
  const router = new MethodRouter();
  router.handle(WATCH, () => ({ leaderAddress, refusal: 'not the leader' }));
  return router;
}

/** A watcher, a leader behind a relay, and two members that redirect to it. */
class WatchedDirectory {
  private constructor(
    readonly directory: CommittingDirectory,
    readonly relay: SilencingRelay,
    readonly held: WatchedState,
  ) {}

  static async start(): Promise<WatchedDirectory> {
    const router = new MethodRouter();
    const relay = await SilencingRelay.start(await serve(router));
    const directory = new CommittingDirectory();
    registerDirectoryService(router, directory.leader, () => directory.group);
    const followers = [
      await serve(redirectTo(relay.address)),
      await serve(redirectTo(relay.address)),
    ];
    const addresses = [...followers.map((port) => `${HOST}:${port}`), relay.address];
    return new WatchedDirectory(directory, relay, watchDirectory(addresses, SECRET));
  }

  isDraining(): boolean {
    return this.held.backends.some(({ phase }) => phase === 'draining');
  }
}

/** Time from the start of the silence until the watcher applies a change, in milliseconds. */
async function staleMs(
  watched: WatchedDirectory,
  silentMs: number,
  change: () => Promise<void>,
  isHeld: () => boolean,
): Promise<number> {
  const silentSince = performance.now();
  watched.relay.silence(silentMs);
  void change();
  await waitUntil('change held', isHeld);
  return performance.now() - silentSince;
}

async function configurationStaleMs(silentMs: number): Promise<number> {
  const watched = await WatchedDirectory.start();
  await watched.directory.put(1);
  await waitUntil('first configuration held', () => watched.held.generation === 1);
  const change = (): Promise<void> => watched.directory.put(2);
  return staleMs(watched, silentMs, change, () => watched.held.generation === 2);
}

async function drainStaleMs(silentMs: number): Promise<number> {
  const watched = await WatchedDirectory.start();
  const { leader } = watched.directory;
  await leader.recordHeartbeat(sampleRegistration());
  await waitUntil('backend known', () => watched.held.backends.length === 1);
  const draining = sampleRegistration({ phase: 'draining', sequence: 2 });
  const change = (): Promise<void> => leader.recordHeartbeat(draining);
  return staleMs(watched, silentMs, change, () => watched.isDraining());
}

/** Recovery time after each length of silence. */
async function recoveriesMs(measure: (silentMs: number) => Promise<number>): Promise<number[]> {
  const staleTimes = await Promise.all(SILENCES_MS.map(measure));
  return staleTimes.map((time, index) => Math.round(time - SILENCES_MS[index]!));
}

describe('a watcher whose connections to the leader become unresponsive', () => {
  it('applies the next configuration soon after new connections work', async () => {
    const recoveries = await recoveriesMs(configurationStaleMs);
    expect(Math.max(...recoveries), `after ${recoveries.join()} ms`).toBeLessThan(RECOVERY_MS);
  });

  it('applies a drain soon after new connections work', async () => {
    const recoveries = await recoveriesMs(drainStaleMs);
    expect(Math.max(...recoveries), `after ${recoveries.join()} ms`).toBeLessThan(RECOVERY_MS);
  });
});
