/** What the leader commits before it grants shares, and what a new leader grants. */
import { beforeEach, describe, expect, it } from 'vitest';
import { sleep } from '../common/index.js';
import type { LeaderAnswer, ReplicatedGroup } from '../consensus/index.js';
import type { MethodRouter } from '../wire/index.js';
import type { HeldShare, SharesResponse, SharesRequest } from './messages.js';
import { QuotaLeader } from './quota-leader.js';

const LIMIT = { name: 'office', ratePerSecond: 100, burst: 100 };
const COMMIT_MS = 20;
/** Longer than the overlap of leaders and the batching of commits. */
const SETTLED_MS = 450;

type Handler = (request: SharesRequest) => Promise<LeaderAnswer<SharesResponse>>;

let committed: { gateways: Set<string>; tenants: Set<string> };
let commits: number;
let group: { term: number };
let ask: (request: Partial<SharesRequest>) => Promise<SharesResponse>;

beforeEach(() => {
  committed = { gateways: new Set(), tenants: new Set() };
  commits = 0;
  const state = {
    isLeader: true,
    isCurrentLeader: true,
    term: 1,
    quorumContactMs: () => performance.now(),
  };
  group = state;
  const options = {
    tolerance: { over: 0, slack: 0, windowMs: 5_000 },
    limits: () => [LIMIT],
    limitsVersion: () => 1,
    outstandingShares: () => committed,
    commitShares: async ({ gateways, tenants }: { gateways: string[]; tenants: string[] }) => {
      await sleep(COMMIT_MS);
      commits += 1;
      committed = { gateways: new Set(gateways), tenants: new Set(tenants) };
    },
  };
  const leader = new QuotaLeader(options, () => state as unknown as ReplicatedGroup);
  const router = {
    handle: (_method: unknown, handler: Handler) => {
      ask = async (request) => (await handler(requestOf(request))).answer!;
    },
  };
  leader.register(router as unknown as MethodRouter);
});

function requestOf(request: Partial<SharesRequest>): SharesRequest {
  return { gateway: 'g1', incarnation: 'a', sequence: 1, held: [], isPartial: false, ...request };
}

function held(overrides: Partial<HeldShare> = {}): HeldShare {
  const nothing = { ratePerSecond: 0, capacity: 0, level: 0 };
  return { tenant: 'office', ...nothing, demandPerSecond: 50, waiting: 0, ...overrides };
}

describe('quota leader', () => {
  it('commits gateways before it responds, concurrent ones in a batch', async () => {
    const answers = ['g1', 'g2', 'g3'].map((gateway) => ask({ gateway }));
    await Promise.all(answers);
    expect(committed.gateways).toEqual(new Set(['g1', 'g2', 'g3']));
    expect(commits).toBeLessThanOrEqual(2);
  });

  it('grants a rate only after the tenant is committed as shared', async () => {
    const first = await ask({ held: [held()] });
    expect(first.shares?.[0]?.ratePerSecond).toBe(0);
    await sleep(SETTLED_MS);
    expect(committed.tenants).toEqual(new Set(['office']));
    const second = await ask({ sequence: 2, held: [held()] });
    expect(second.shares?.[0]?.ratePerSecond).toBeGreaterThan(0);
  });

  it('requests a full report from an unknown gateway and renews nothing', async () => {
    const partial = await ask({ isPartial: true, held: [held({ waiting: 3 })] });
    expect(partial.shares).toBeUndefined();
  });

  it('grants nothing of a shared tenant in a new term until all possible holders have reported', async () => {
    committed = { gateways: new Set(['g1', 'g2']), tenants: new Set(['office']) };
    group.term = 2;
    await ask({ held: [] });
    await sleep(SETTLED_MS);
    const waiting = held({ waiting: 5 });
    const before = await ask({ sequence: 2, held: [waiting] });
    expect(before.shares?.[0]).toMatchObject({ tokens: 0, ratePerSecond: 0 });
    await ask({ gateway: 'g2', held: [held({ ratePerSecond: 80, capacity: 80 })] });
    await sleep(SETTLED_MS);
    const after = await ask({ sequence: 3, held: [waiting] });
    expect(after.shares?.[0]?.tokens).toBeGreaterThan(0);
    expect(after.shares?.[0]?.ratePerSecond).toBeLessThanOrEqual(20);
  });

  it('grants tokens of a tenant that is not shared immediately in a new term', async () => {
    committed = { gateways: new Set(['g1', 'g2']), tenants: new Set() };
    group.term = 2;
    await ask({ held: [] });
    await sleep(SETTLED_MS);
    const answer = await ask({ sequence: 2, held: [held({ demandPerSecond: 0.3, waiting: 2 })] });
    expect(answer.shares?.[0]?.tokens).toBe(2);
  });
});
