/** The order in which queued calls are served. Policies are selected by name in the settings. */
import { monotonicMs, remainingAfter } from '../common/index.js';
import type { QueuePolicyName } from '../settings/index.js';

export interface WaitingCall {
  tenant: string;
  /** Tokens processed for the whole program so far. */
  attainedService: number;
  enqueuedAtMs: number;
}

export interface QueuePolicy {
  /** Sorts calls in the order in which they are to be served. */
  order<Call extends WaitingCall>(calls: Call[]): Call[];
  /** Records tokens processed for a tenant. */
  noteServed(tenant: string, tokens: number): void;
}

class FirstComeQueue implements QueuePolicy {
  order<Call extends WaitingCall>(calls: Call[]): Call[] {
    return calls.sort((left, right) => left.enqueuedAtMs - right.enqueuedAtMs);
  }

  noteServed(): void {
    // The order does not depend on service.
  }
}

/** Tokens of attained service that one second of waiting offsets. */
const TOKENS_PER_WAITED_SECOND = 4_096;
const MS_PER_SECOND = 1_000;
const SERVICE_HALF_LIFE_MS = 5_000;

interface TenantService {
  tokens: number;
  atMs: number;
}

/**
 * Weighted fair queueing by attained service: tenants are ordered by recent service divided by
 * weight; within a tenant, programs with the least attained service go first, minus a credit for
 * waiting time.
 */
class AttainedServiceQueue implements QueuePolicy {
  private readonly served = new Map<string, TenantService>();

  constructor(private readonly weightOf: (tenant: string) => number) {}

  order<Call extends WaitingCall>(calls: Call[]): Call[] {
    const now = monotonicMs();
    const byTenant = new Map<string, Call[]>();
    for (const call of calls) {
      const tenantCalls = byTenant.get(call.tenant);
      if (tenantCalls) tenantCalls.push(call);
      else byTenant.set(call.tenant, [call]);
    }
    for (const tenantCalls of byTenant.values()) {
      tenantCalls.sort((left, right) => rank(left, now) - rank(right, now));
    }
    return this.interleave(byTenant, now);
  }

  noteServed(tenant: string, tokens: number): void {
    const now = monotonicMs();
    this.served.set(tenant, { tokens: this.recentService(tenant, now) + tokens, atMs: now });
  }

  /** Repeatedly takes a call from the tenant with the least weighted service. */
  private interleave<Call extends WaitingCall>(byTenant: Map<string, Call[]>, now: number): Call[] {
    const shares = [...byTenant].map(([tenant, calls]) => ({
      calls,
      weight: this.weightOf(tenant),
      service: this.recentService(tenant, now) / this.weightOf(tenant),
    }));
    const ordered: Call[] = [];
    while (shares.length > 0) {
      shares.sort((left, right) => left.service - right.service);
      const first = shares[0]!;
      ordered.push(first.calls.shift()!);
      first.service += TOKENS_PER_WAITED_SECOND / first.weight;
      if (first.calls.length === 0) shares.shift();
    }
    return ordered;
  }

  private recentService(tenant: string, now: number): number {
    const service = this.served.get(tenant);
    if (!service) return 0;
    return service.tokens * remainingAfter(now - service.atMs, SERVICE_HALF_LIFE_MS);
  }
}

function rank(call: WaitingCall, now: number): number {
  const waitedSeconds = (now - call.enqueuedAtMs) / MS_PER_SECOND;
  return call.attainedService - waitedSeconds * TOKENS_PER_WAITED_SECOND;
}

const FIRST_LEVEL_TOKENS = 2_048;

/** The priority sent to engines: a level that grows with the logarithm of the attained service. */
export function enginePriority(policy: QueuePolicyName, attainedService: number): number {
  if (policy === 'first-come') return 0;
  return Math.floor(Math.log2(1 + attainedService / FIRST_LEVEL_TOKENS));
}

export function createQueuePolicy(
  name: QueuePolicyName,
  weightOf: (tenant: string) => number,
): QueuePolicy {
  return name === 'first-come' ? new FirstComeQueue() : new AttainedServiceQueue(weightOf);
}
