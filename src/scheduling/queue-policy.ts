/** In which order waiting calls are served. Each policy is a named choice in the settings. */
import { monotonicMs } from '../common/index.js';
import type { QueuePolicyName } from '../settings/index.js';

export interface WaitingCall {
  tenant: string;
  /** Tokens that the whole program has been given so far. */
  attainedService: number;
  enqueuedAtMs: number;
}

export interface QueuePolicy {
  /** Orders calls, the first to be served first. */
  order<Call extends WaitingCall>(calls: Call[]): Call[];
  /** Notes that a tenant was given service, in tokens. */
  noteServed(tenant: string, tokens: number): void;
}

class FirstCome implements QueuePolicy {
  order<Call extends WaitingCall>(calls: Call[]): Call[] {
    return calls.sort((left, right) => left.enqueuedAtMs - right.enqueuedAtMs);
  }

  noteServed(): void {
    // The order does not depend on it.
  }
}

/** Service that waiting one second makes up for, in tokens. */
const TOKENS_PER_WAITED_SECOND = 4_096;
const MS_PER_SECOND = 1_000;
/** Time after which a tenant's service counts half. */
const SERVICE_HALF_LIFE_MS = 5_000;

interface TenantService {
  tokens: number;
  atMs: number;
}

/**
 * Tenants in the order of their recent service against their weight; within a tenant, programs with
 * the least service so far, where waiting makes up for service.
 */
class AttainedService implements QueuePolicy {
  private readonly served = new Map<string, TenantService>();

  constructor(private readonly weightOf: (tenant: string) => number) {}

  order<Call extends WaitingCall>(calls: Call[]): Call[] {
    const now = monotonicMs();
    const byTenant = new Map<string, Call[]>();
    for (const call of calls) {
      const own = byTenant.get(call.tenant);
      if (own) own.push(call);
      else byTenant.set(call.tenant, [call]);
    }
    for (const own of byTenant.values()) {
      own.sort((left, right) => rank(left, now) - rank(right, now));
    }
    return this.interleave(byTenant, now);
  }

  noteServed(tenant: string, tokens: number): void {
    const now = monotonicMs();
    this.served.set(tenant, { tokens: this.recentService(tenant, now) + tokens, atMs: now });
  }

  /** Takes from the tenant with the least service for its weight, one call after the other. */
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
    return service.tokens * 0.5 ** ((now - service.atMs) / SERVICE_HALF_LIFE_MS);
  }
}

function rank(call: WaitingCall, now: number): number {
  const waitedSeconds = (now - call.enqueuedAtMs) / MS_PER_SECOND;
  return call.attainedService - waitedSeconds * TOKENS_PER_WAITED_SECOND;
}

const TOKENS_OF_FIRST_LEVEL = 2_048;

/** The priority that engines are given: a level that rises with the logarithm of the service. */
export function enginePriority(policy: QueuePolicyName, attainedService: number): number {
  if (policy === 'first-come') return 0;
  return Math.floor(Math.log2(1 + attainedService / TOKENS_OF_FIRST_LEVEL));
}

export function createQueuePolicy(
  name: QueuePolicyName,
  weightOf: (tenant: string) => number,
): QueuePolicy {
  return name === 'first-come' ? new FirstCome() : new AttainedService(weightOf);
}
