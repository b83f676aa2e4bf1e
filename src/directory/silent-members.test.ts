/**
 * A gateway whose leader is silent asks the other members for news. It chose them by a count that its questions for
 * the leader advance as well, so that one silent member could be asked several times running: with the leader and one of two
 * others silent, news were held after 4.9 s at worst, and after more than 2 s in 6 and 8 of 60 tries.
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

const TRIES = 40;
/** Tries begin at different moments of a watcher's questions, this far apart, in milliseconds. */
const PHASE_MS = 11;
/** Within which gateways have to obey an acknowledged drain, in milliseconds. */
const HELD_WITHIN_MS = 2_000;
const LEADER_HOLDS_MS = 200;

/** Three members: the leader and one other can fall silent, the third holds the news. */
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
    if (address !== 'holder') await this.speak(options);
    if (method.name === COMMITTED_UPDATE.name) {
      const list: BackendDelta = { index: 50, changed: [], gone: [] };
      return { backends: { index: 50, pieces: [packJson(list)] } } as Response;
    }
    if (method.name !== WATCH.name || address !== 'leader') {
      return { leaderAddress: 'leader', refusal: 'not the leader' } as Response;
    }
    await sleep(LEADER_HOLDS_MS);
    await this.speak(options);
    return { answer: {} } as Response;
  }

  private async speak({ timeoutMs }: CallOptions): Promise<void> {
    if (!this.isSilent) return;
    await sleep(timeoutMs);
    throw new Error('no answer in time');
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

it('a gateway hears of a change beside a silent leader and one silent member of two', async () => {
  const tries = Array.from({ length: TRIES }, (_, index) => heldAfterMs(index * PHASE_MS));
  const late = (await Promise.all(tries)).filter((heldMs) => heldMs > HELD_WITHIN_MS);
  expect(late).toEqual([]);
});
