/**
 * While no leader answered, calls of tenants without tokens waited a quarter of a second each and were told that their tenant
 * was over its limit: a herd of kills took the leader for 1.2 s, and 263 calls of one zone's gateways ended so in two seconds, with
 * lines like `"outcome":"over-limit","ms":253,"pressure":0`.
 */
import { afterEach, expect, it } from 'vitest';
import { waitUntil } from '../../tests/support/wait-until.js';
import { GroupClient, type PeerCaller } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import { GatewayQuotas } from './gateway-quotas.js';
import type { SharesResponse, SharesRequest } from './messages.js';

const LIMIT = { name: 'office', ratePerSecond: 50, burst: 50 };
const SOON_MS = 50;

let quotas: GatewayQuotas;
let isAnswering = true;
let tokens = 1;

afterEach(() => quotas.stop());

function start(): void {
  isAnswering = true;
  tokens = 1;
  const call = (_address: string, _method: unknown, request: SharesRequest): Promise<unknown> => {
    if (!isAnswering) return Promise.reject(new Error('nobody answers'));
    const shares = request.held.map(({ tenant }) => ({
      tenant,
      ratePerSecond: 0,
      capacity: 5,
      tokens,
      scarceForMs: tokens > 0 ? 0 : 200,
      pressure: 1.5,
    }));
    const answer: SharesResponse = { term: 1, confirmedAgeMs: 0, shares };
    return Promise.resolve({ answer });
  };
  const peers = { call, isConnected: () => true } as unknown as PeerCaller;
  const groups = new GroupClient({ peers, addresses: ['a:1'] });
  const logger = createLogger({ level: 'silent' });
  quotas = new GatewayQuotas({ groups, group: 'directory', gateway: 'g', logger });
  quotas.setLimits([LIMIT]);
}

it('lets a call pass by a token that the leader gives, and tenants without limit without any', async () => {
  start();
  expect(await quotas.take('office', false)).toEqual({ isAllowed: true });
  expect(await quotas.take('nobody', false)).toEqual({ isAllowed: true });
});

it('says that a tenant is over its limit only where a leader has said so', async () => {
  start();
  tokens = 0;
  const decision = await quotas.take('office', false);
  expect(decision).toMatchObject({ isAllowed: false, reason: 'over-limit' });
});

it('refuses at once, as uncertain, while no leader answers, and serves again after it', async () => {
  start();
  await quotas.take('office', false);
  isAnswering = false;
  let decision = await quotas.take('office', false);
  await waitUntil(
    'noticed',
    async () => {
      decision = await quotas.take('office', false);
      return !decision.isAllowed;
    },
    3_000,
  );
  const startedAt = performance.now();
  decision = await quotas.take('office', false);
  expect(performance.now() - startedAt).toBeLessThan(SOON_MS);
  expect(decision).toMatchObject({ isAllowed: false, reason: 'uncertain' });
  isAnswering = true;
  const isServed = async (): Promise<boolean> => (await quotas.take('office', false)).isAllowed;
  await waitUntil('served again', isServed, 3_000);
});

// A field `level` for the tokens of a bucket took the place of the level of the log line: `"level":0.66,"event":"call"`.
it('describes a refusal without the names that each log line has', async () => {
  start();
  await quotas.take('office', false);
  const names = Object.keys(quotas.describe('office'));
  expect(names).toContain('tokens');
  for (const name of ['time', 'level', 'event', 'message', 'process', 'node']) {
    expect(names).not.toContain(name);
  }
});
