/**
 * Tasks of the leader of the intents group besides replication: grants configuration leases, reports when a revision
 * is in effect, and delivers orders to engines.
 */
import type { ReplicatedGroup } from '../consensus/index.js';
import { monotonicMs } from '../common/index.js';
import { type IntentCommand, type IntentQuery, IntentStateMachine } from '../intents/index.js';
import {
  type GatewayLease,
  LeaseRegistry,
  type RenewLeaseRequest,
  type RenewLeaseResponse,
} from '../membership/index.js';
import { decodeValue, encodeValue } from '../wire/index.js';
import type { MachineList } from './machine-list.js';
import { OrderDelivery, type OrderDeliveryOptions } from './order-delivery.js';

/** Rollout status of the configuration, shown to operators. */
export interface ConfigurationStatus {
  /** Latest revision accepted by a quorum. */
  acceptedRevision: number;
  /** Whether no gateway can still use an earlier revision. */
  isInForce: boolean;
  /** Time from acceptance on this member until the revision was first observed in effect, in milliseconds. */
  inForceAfterMs?: number;
  gateways: GatewayLease[];
}

export interface IntentsLeaderOptions {
  /** Duration of a configuration lease, in milliseconds. */
  leaseMs: number;
  sendOrder: OrderDeliveryOptions['send'];
  machines: MachineList;
}

const IN_FORCE_POLL_MS = 20;

export class IntentsLeader {
  readonly stateMachine: IntentStateMachine;
  private group!: ReplicatedGroup;
  private readonly leases: LeaseRegistry;
  private readonly orders: OrderDelivery;
  private acceptedAt = { revision: 0, atMs: 0 };
  private inForce: { revision: number; afterMs: number } | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: IntentsLeaderOptions) {
    const { leaseMs, sendOrder } = options;
    this.stateMachine = new IntentStateMachine(() => this.onRevision());
    this.leases = new LeaseRegistry(leaseMs);
    this.orders = new OrderDelivery({
      current: () => ({
        revision: this.stateMachine.revision,
        document: this.stateMachine.document,
      }),
      send: sendOrder,
    });
  }

  attach(group: ReplicatedGroup): void {
    this.group = group;
  }

  onLeadershipChange(): void {
    this.stop();
    if (!this.group.isLeader) return;
    this.leases.start();
    this.orders.start();
    this.options.machines.start();
    this.timer = setInterval(() => this.checkInForce(), IN_FORCE_POLL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.leases.stop();
    this.orders.stop();
    this.options.machines.stop();
  }

  prepareCommand(body: Uint8Array): Uint8Array {
    return encodeValue(this.stateMachine.prepare(decodeValue<IntentCommand>(body)));
  }

  answerQuery(body: Uint8Array): unknown {
    return this.stateMachine.answer(decodeValue<IntentQuery>(body));
  }

  /** Grants a lease after a quorum has confirmed that this member is still the leader. */
  async renewLease(request: RenewLeaseRequest): Promise<RenewLeaseResponse> {
    if (!this.group.isLeader) return { redirect: { leaderAddress: this.group.leaderAddress } };
    try {
      await this.group.confirmLeadership();
    } catch {
      return { redirect: { leaderAddress: this.group.leaderAddress } };
    }
    this.leases.renew(request);
    const update = this.stateMachine.updateFrom(request.revision);
    const { leaseMs, machines } = this.options;
    return { grant: { leaseMs, update, leaving: machines.leaving } };
  }

  status(): ConfigurationStatus {
    const acceptedRevision = this.stateMachine.revision;
    const measured = this.inForce?.revision === acceptedRevision ? this.inForce : undefined;
    return {
      acceptedRevision,
      isInForce: this.leases.isInForce(acceptedRevision),
      inForceAfterMs: measured?.afterMs,
      gateways: this.leases.live(),
    };
  }

  private onRevision(): void {
    this.acceptedAt = { revision: this.stateMachine.revision, atMs: monotonicMs() };
    this.orders.notify();
  }

  private checkInForce(): void {
    const { revision, atMs } = this.acceptedAt;
    if (this.inForce?.revision === revision || !this.leases.isInForce(revision)) return;
    this.inForce = { revision, afterMs: monotonicMs() - atMs };
  }
}
