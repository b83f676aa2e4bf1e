/**
 * Guards against polling the same unresponsive member several times in a row: the rotation of polled members must
 * not be advanced by requests for the leader.
 */
import { expect, it, onTestFinished } from 'vitest';
import { sleep } from '../common/index.js';
import { GroupClient, type PeerCaller } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import type { CallOptions, Method } from '../wire/index.js';
import type { BackendDelta } from './backend-updates.js';
import { DirectoryClient } from './directory-client.js';
import { DirectoryWatcher } from './directory-watcher.js';
import { COMMITTED_UPDATE, WATCH } from './messages.js';
import { packJson } from './packed-json.js';

const RUNS = 40;
/** Offset between the start times of the runs relative to a watcher's requests. */
const PHASE_MS = 11;
/** Time limit within which gateways must apply an acknowledged drain. */
const HELD_WITHIN_MS = 2_000;
const LONG_POLL_MS = 200;

/** Three members: the leader and one other can become unresponsive, the third has an update. */
class Members implements PeerCaller {
  isSilent = false;

  isConnected(): boolean {
    return true;
  }

  async call<Request, Response>(
    address: string,
    method: Method<Request, Response>,
    _request: Request,
    options: CallOptions,
  ): Promise<Response> {
    if (address !== 'holder') await this.failIfSilent(options);
    if (method.name === COMMITTED_UPDATE.name) {
      const list: BackendDelta = { index: 50, changed: [], gone: [] };
      return { backends: { index: 50, pieces: [packJson(list)] } } as Response;
    }
    if (method.name !== WATCH.name || address !== 'leader') {
      return { leaderAddress: 'leader', refusal: 'not the leader' } as Response;
    }
    await sleep(LONG_POLL_MS);
    await this.failIfSilent(options);
    return { answer: {} } as Response;
  }

  private async failIfSilent({ timeoutMs }: CallOptions): Promise<void> {
    if (!this.isSilent) return;
    await sleep(timeoutMs);
    throw new Error('request timed out');
  }
}

async function heldAfterMs(phaseMs: number): Promise<number> {
  const members = new Members();
  const groups = new GroupClient({ peers: members, addresses: ['leader', 'silent', 'holder'] });
  let heldAt = Number.POSITIVE_INFINITY;
  const watcher = new DirectoryWatcher({
    client: new DirectoryClient(groups),
    announce: () => ({ name: 'gateway-1', role: 'gateway', address: 'g:1', zone: 'z' }),
    logger: createLogger({}),
    onBackends: () => (heldAt = Math.min(heldAt, performance.now())),
  });
  watcher.start();
  onTestFinished(() => watcher.stop());
  await sleep(700 + phaseMs);
  members.isSilent = true;
  const silentAt = performance.now();
  await sleep(HELD_WITHIN_MS);
  return heldAt - silentAt;
}

it('a gateway gets an update while the leader and one of two other members are unresponsive', async () => {
  const runs = Array.from({ length: RUNS }, (_, index) => heldAfterMs(index * PHASE_MS));
  const late = (await Promise.all(runs)).filter((heldMs) => heldMs > HELD_WITHIN_MS);
  expect(late).toEqual([]);
});
