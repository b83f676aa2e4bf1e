/**
 * Configuration leases granted by the leader of the intents group, kept in its memory only. A new leader waits one
 * lease time before it reports a revision as in effect: by then every lease of an earlier leader has expired or
 * was renewed here.
 */
import { monotonicMs } from '../common/index.js';
import type { RenewLeaseRequest } from './messages.js';

export interface GatewayLease {
  gateway: string;
  incarnation: string;
  address: string;
  zone: string;
  /** Revision that the gateway reported last. */
  revision: number;
  /** Expiry on this leader's monotonic clock, in milliseconds; never earlier than the gateway's own expiry. */
  expiresAtMs: number;
}

export class LeaseRegistry {
  private readonly leases = new Map<string, GatewayLease>();
  private startedAtMs = Number.POSITIVE_INFINITY;

  constructor(private readonly leaseMs: number) {}

  /** Clears the registry at the start of leadership. */
  start(): void {
    this.leases.clear();
    this.startedAtMs = monotonicMs();
  }

  stop(): void {
    this.leases.clear();
    this.startedAtMs = Number.POSITIVE_INFINITY;
  }

  /** Records a renewal; must be called only after leadership is confirmed. */
  renew(request: RenewLeaseRequest): void {
    const { gateway, incarnation, address, zone, revision } = request;
    // The gateway counts from when it sent the request, so its lease expires earlier than this.
    const expiresAtMs = monotonicMs() + this.leaseMs;
    this.leases.set(`${gateway}/${incarnation}`, {
      gateway,
      incarnation,
      address,
      zone,
      revision,
      expiresAtMs,
    });
  }

  /** Leases that have not expired. */
  live(): GatewayLease[] {
    const now = monotonicMs();
    for (const [key, lease] of this.leases) {
      if (lease.expiresAtMs <= now) this.leases.delete(key);
    }
    return [...this.leases.values()];
  }

  /** Leases of gateways that have a configuration, which excludes those that have just started. */
  private configuredLeases(): GatewayLease[] {
    return this.live().filter((lease) => lease.revision > 0);
  }

  /** Whether no gateway can still use a revision before `revision`. */
  isInForce(revision: number): boolean {
    const isComplete = monotonicMs() - this.startedAtMs >= this.leaseMs;
    return isComplete && this.configuredLeases().every((lease) => lease.revision >= revision);
  }

  /** The lowest revision that a gateway may be using; undefined while it is not known. */
  lowestRevision(): number | undefined {
    if (monotonicMs() - this.startedAtMs < this.leaseMs) return undefined;
    const revisions = this.configuredLeases().map((lease) => lease.revision);
    return revisions.length === 0 ? undefined : Math.min(...revisions);
  }
}
