/** Configuration leases of gateways and leader, with a simulated clock. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { GroupClient } from '../consensus/index.js';
import { type IntentDocument, intentDocumentSchema } from '../intents/index.js';
import { createLogger } from '../observability/index.js';
import { LeaseHolder } from './lease-holder.js';
import { LeaseRegistry } from './lease-registry.js';
import type { LeaseGrant, RenewLeaseRequest } from './messages.js';

const LEASE_MS = 2_000;
const RENEW_MS = 400;

beforeEach(() => vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'clearTimeout'] }));
afterEach(() => vi.useRealTimers());

function documentWith(...models: string[]): IntentDocument {
  return intentDocumentSchema.parse({ models: models.map((id) => ({ id })) });
}

/** A leader with scripted responses. */
class ScriptedLeader {
  isReachable = true;
  delayMs = 0;
  revision = 1;
  requests: RenewLeaseRequest[] = [];

  async callWithRedirect(_group: string, _method: unknown, request: RenewLeaseRequest) {
    this.requests.push(request);
    if (this.delayMs > 0) await new Promise((resolve) => setTimeout(resolve, this.delayMs));
    if (!this.isReachable) throw new Error('leader unreachable');
    const { revision } = this;
    const isOutdated = request.revision !== revision;
    const update: LeaseGrant['update'] = isOutdated
      ? { kind: 'fetch', revision }
      : { kind: 'none' };
    return { leaseMs: LEASE_MS, update, leaving: [] } satisfies LeaseGrant;
  }
}

function startHolder(leader: ScriptedLeader): { holder: LeaseHolder; revisions: number[] } {
  const revisions: number[] = [];
  const holder = new LeaseHolder({
    groups: leader as unknown as GroupClient,
    fetcher: {
      fetch: (revision) => Promise.resolve({ revision, document: documentWith(`m${revision}`) }),
    },
    gateway: 'gateway-1',
    incarnation: 'a',
    address: 'h:1',
    zone: 'z',
    renewIntervalMs: RENEW_MS,
    logger: createLogger({ name: 'test' }),
    onConfiguration: (_document, revision) => revisions.push(revision),
    onLeaving: () => undefined,
  });
  holder.start();
  return { holder, revisions };
}

describe('a gateway', () => {
  it('may start work only while it holds a lease', async () => {
    const leader = new ScriptedLeader();
    const { holder } = startHolder(leader);
    expect(holder.isHeld).toBe(false);
    await vi.advanceTimersByTimeAsync(10);
    expect(holder.isHeld).toBe(true);
    leader.isReachable = false;
    await vi.advanceTimersByTimeAsync(LEASE_MS + RENEW_MS);
    expect(holder.isHeld).toBe(false);
    leader.isReachable = true;
    await vi.advanceTimersByTimeAsync(RENEW_MS);
    expect(holder.isHeld).toBe(true);
    holder.stop();
  });

  it('counts the lease from when it sent the request', async () => {
    const leader = new ScriptedLeader();
    leader.delayMs = LEASE_MS + 100;
    const { holder } = startHolder(leader);
    await vi.advanceTimersByTimeAsync(LEASE_MS + 150);
    expect(leader.requests.length).toBeGreaterThan(0);
    expect(holder.isHeld).toBe(false);
    holder.stop();
  });

  it('has lost its lease after its process was suspended', async () => {
    const { holder } = startHolder(new ScriptedLeader());
    await vi.advanceTimersByTimeAsync(10);
    // The clock advances without running any timers.
    const resumedAt = performance.now() + LEASE_MS + 1;
    vi.spyOn(performance, 'now').mockReturnValue(resumedAt);
    expect(holder.isHeld).toBe(false);
    vi.restoreAllMocks();
    holder.stop();
  });

  it('applies new revisions at once and never an earlier one', async () => {
    const leader = new ScriptedLeader();
    const { holder, revisions } = startHolder(leader);
    await vi.advanceTimersByTimeAsync(10);
    leader.revision = 500;
    await vi.advanceTimersByTimeAsync(RENEW_MS);
    leader.revision = 499;
    await vi.advanceTimersByTimeAsync(RENEW_MS);
    expect(revisions).toEqual([1, 500]);
    expect(holder.document.models[0]!.id).toBe('m500');
    holder.stop();
  });
});

describe('a leader', () => {
  const renewal = (gateway: string, revision: number): RenewLeaseRequest => ({
    gateway,
    incarnation: 'a',
    address: 'h:1',
    zone: 'z',
    revision,
  });

  it('reports no revision as in effect before the leases of its predecessor have expired', async () => {
    const registry = new LeaseRegistry(LEASE_MS);
    registry.start();
    expect(registry.isInForce(1)).toBe(false);
    await vi.advanceTimersByTimeAsync(LEASE_MS);
    expect(registry.isInForce(1)).toBe(true);
  });

  it('waits until the last gateway uses a revision or its lease expires', async () => {
    const registry = new LeaseRegistry(LEASE_MS);
    registry.start();
    await vi.advanceTimersByTimeAsync(LEASE_MS);
    registry.renew(renewal('gateway-1', 2));
    registry.renew(renewal('gateway-2', 1));
    expect(registry.isInForce(2)).toBe(false);
    expect(registry.lowestRevision()).toBe(1);
    await vi.advanceTimersByTimeAsync(LEASE_MS / 2);
    registry.renew(renewal('gateway-1', 2));
    await vi.advanceTimersByTimeAsync(LEASE_MS / 2);
    expect(registry.isInForce(2)).toBe(true);
    expect(registry.live().map((lease) => lease.gateway)).toEqual(['gateway-1']);
  });

  it('reports nothing as in effect once it is no longer the leader', () => {
    const registry = new LeaseRegistry(LEASE_MS);
    registry.start();
    registry.stop();
    expect(registry.isInForce(0)).toBe(false);
  });
});
