/**
 * While no leader answered, calls of tenants without tokens waited a quarter of a second each and were told that their tenant
 * was over its limit: a herd of kills took the leader for 1.2 s, and 263 calls of one zone's gateways ended so in two seconds, with
 * lines like `"outcome":"over-limit","ms":253,"pressure":0`.
 */
import { afterEach, expect, it } from 'vitest';
import { waitUntil } from '../../tests/support/wait-until.js';
import { monotonicMs, sleep } from '../common/index.js';
import { GroupClient, type PeerCaller } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import { GatewayQuotas, type QuotaDecision } from './gateway-quotas.js';
import type { SharesAnswer, SharesRequest } from './messages.js';

const LIMIT = { name: 'office', ratePerSecond: 50, burst: 50 };
const SOON_MS = 50;
const PATIENCE_MS = 4_000;

let quotas: GatewayQuotas;
let isAnswering = true;
let tokens = 1;

afterEach(() => quotas.stop());

/** A call with four seconds left. */
function take(tenant = 'office', beginsProgram = false): Promise<QuotaDecision> {
  return quotas.take(tenant, beginsProgram, monotonicMs() + PATIENCE_MS);
}

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
    const answer: SharesAnswer = { term: 1, confirmedAgeMs: 0, shares };
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
  expect(await take()).toEqual({ isAllowed: true });
  expect(await take('nobody')).toEqual({ isAllowed: true });
});

it('says that a tenant is over its limit only where a leader has said so', async () => {
  start();
  tokens = 0;
  const decision = await take();
  expect(decision).toMatchObject({ isAllowed: false, reason: 'over-limit' });
});

it('refuses a new program at once, as uncertain, while no leader answers, and serves again after it', async () => {
  start();
  await take();
  isAnswering = false;
  let decision = await take();
  await waitUntil(
    'noticed',
    async () => {
      decision = await take();
      return !decision.isAllowed;
    },
    3_000,
  );
  const startedAt = performance.now();
  decision = await take('office', true);
  expect(performance.now() - startedAt).toBeLessThan(SOON_MS);
  expect(decision).toMatchObject({ isAllowed: false, reason: 'uncertain' });
  isAnswering = true;
  const isServed = async (): Promise<boolean> => (await take()).isAllowed;
  await waitUntil('served again', isServed, 3_000);
});

it('lets a call of a program that has begun wait for a leader, as long as it has time', async () => {
  start();
  await take();
  isAnswering = false;
  await waitUntil('noticed', async () => !(await take('office', true)).isAllowed, 3_000);
  const waiting = take();
  await sleep(300);
  isAnswering = true;
  expect(await waiting).toEqual({ isAllowed: true });
});
