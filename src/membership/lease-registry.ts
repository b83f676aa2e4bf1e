/**
 * The configuration leases that the leader of the intents group has granted. They live in the
 * leader's memory only: a new leader waits one lease time before it calls a revision in force,
 * because by then every lease that an earlier leader granted has run out or was renewed here.
 */
import { monotonicMs } from '../common/index.js';
import type { RenewLeaseRequest } from './messages.js';

export interface GatewayLease {
  gateway: string;
  incarnation: string;
  address: string;
  zone: string;
  /** The revision that the gateway last said it acts on. */
  revision: number;
  /** End of the lease on this leader's monotonic clock, in milliseconds; never too early. */
  expiresAtMs: number;
}

export class LeaseRegistry {
  private readonly leases = new Map<string, GatewayLease>();
  private startedAtMs = Number.POSITIVE_INFINITY;

  constructor(private readonly leaseMs: number) {}

  /** Forgets everything: leadership begins now. */
  start(): void {
    this.leases.clear();
    this.startedAtMs = monotonicMs();
  }

  stop(): void {
    this.leases.clear();
    this.startedAtMs = Number.POSITIVE_INFINITY;
  }

  /** Notes a renewal that arrived at `receivedAtMs`; call it only after leadership is confirmed. */
  renew(request: RenewLeaseRequest): void {
    const { gateway, incarnation, address, zone, revision } = request;
    // The gateway counts from when it sent the request, which was earlier than now.
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

  /** Leases that have not run out. */
  live(): GatewayLease[] {
    const now = monotonicMs();
    for (const [key, lease] of this.leases) {
      if (lease.expiresAtMs <= now) this.leases.delete(key);
    }
    return [...this.leases.values()];
  }

  /** Gateways that have a configuration; one that just started acts on nothing yet. */
  private acting(): GatewayLease[] {
    return this.live().filter((lease) => lease.revision > 0);
  }

  /** Whether no gateway can act on a revision before `revision` any more. */
  isInForce(revision: number): boolean {
    const knowsAll = monotonicMs() - this.startedAtMs >= this.leaseMs;
    return knowsAll && this.acting().every((lease) => lease.revision >= revision);
  }

  /** The lowest revision that any gateway may act on; undefined while that is not known. */
  lowestRevision(): number | undefined {
    if (monotonicMs() - this.startedAtMs < this.leaseMs) return undefined;
    const revisions = this.acting().map((lease) => lease.revision);
    return revisions.length === 0 ? undefined : Math.min(...revisions);
  }
}
