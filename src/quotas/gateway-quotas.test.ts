/**
 * Regression test: while no leader responded, calls without tokens waited for the full token timeout and were then
 * rejected as over the limit.
 */
import { afterEach, expect, it } from 'vitest';
import { waitUntil } from '../../tests/support/wait-until.js';
import { GroupClient, type PeerCaller } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import { GatewayQuotas } from './gateway-quotas.js';
import type { SharesResponse, SharesRequest } from './messages.js';

const LIMIT = { name: 'office', ratePerSecond: 50, burst: 50 };
const IMMEDIATE_MS = 50;

let quotas: GatewayQuotas;
let isLeaderUp = true;
let tokens = 1;

afterEach(() => quotas.stop());

function start(): void {
  isLeaderUp = true;
  tokens = 1;
  const call = (_address: string, _method: unknown, request: SharesRequest): Promise<unknown> => {
    if (!isLeaderUp) return Promise.reject(new Error('no response'));
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

it('admits a call with a token from the leader, and tenants without a limit without a token', async () => {
  start();
  expect(await quotas.take('office', false)).toEqual({ isAllowed: true });
  expect(await quotas.take('nobody', false)).toEqual({ isAllowed: true });
});

it('rejects a call as over-limit when the leader reports it', async () => {
  start();
  tokens = 0;
  const decision = await quotas.take('office', false);
  expect(decision).toMatchObject({ isAllowed: false, reason: 'over-limit' });
});

it('rejects calls immediately as uncertain while no leader responds, and recovers afterwards', async () => {
  start();
  await quotas.take('office', false);
  isLeaderUp = false;
  let decision = await quotas.take('office', false);
  await waitUntil(
    'outage noticed',
    async () => {
      decision = await quotas.take('office', false);
      return !decision.isAllowed;
    },
    3_000,
  );
  const startedAt = performance.now();
  decision = await quotas.take('office', false);
  expect(performance.now() - startedAt).toBeLessThan(IMMEDIATE_MS);
  expect(decision).toMatchObject({ isAllowed: false, reason: 'uncertain' });
  isLeaderUp = true;
  const isServed = async (): Promise<boolean> => (await quotas.take('office', false)).isAllowed;
  await waitUntil('served again', isServed, 3_000);
});

// A field `level` once overwrote the level of the log line.
it('describes a rejection without the field names reserved by the logger', async () => {
  start();
  await quotas.take('office', false);
  const names = Object.keys(quotas.describe('office'));
  expect(names).toContain('tokens');
  for (const name of ['time', 'level', 'event', 'message', 'process', 'node']) {
    expect(names).not.toContain(name);
  }
});
