/**
 * Lets calls wait in this gateway until a backend can soon process them. A call gets a permit when the limit of its
 * service allows one more call and no other call is ahead of it; it is refused at once when it would not be served in
 * time.
 */
import { monotonicMs } from '../common/index.js';
import type { HolderOptions, MemoryBudget, MemoryHolder } from '../memory-budget/index.js';
import type { Logger } from '../observability/index.js';
import { utilizationOf } from '../performance/index.js';
import { CallQueue } from './call-queue.js';
import {
  type BackendOccupancy,
  DispatchLimit,
  FIGURES_OVERDUE_MS,
  type ServiceState,
} from './dispatch-limit.js';
import { PermitRates } from './permit-rates.js';
import {
  type HeldBytes,
  type PermitCall,
  type PermitEnd,
  type PermitRequest,
  PermitTicket,
  REVIEW_INTERVAL_MS,
} from './permit-request.js';
import { RefusalLog } from './refusal-log.js';
import { ServiceTime } from './service-time.js';
import type { WaitingCount } from './waiting-call.js';
import type { WaitingMetrics, WaitingOutcome } from './waiting-metrics.js';
import { WaitEstimate } from './wait-estimate.js';
import { WaitingReporter } from './waiting-reporter.js';

export interface PermitGateOptions {
  /** Whether calls wait here; otherwise all are sent at once. */
  isActive: () => boolean;
  /** Backends of a service that accept new calls. */
  backends: (service: string) => readonly BackendOccupancy[];
  /** Mean latency of a call of a service, in milliseconds. */
  typicalMs: (service: string) => number;
  /** Number of gateways, including this one. */
  gateways: () => number;
  /** Called while calls of a service wait and load figures are overdue. */
  onFiguresOverdue: (service: string) => void;
  /** Budget of the bytes of waiting calls. @default they are bounded by the queue only */
  memoryBudget?: () => MemoryBudget | undefined;
  logger: Logger;
  metrics: WaitingMetrics;
}

/**
 * Multiple of the expected wait that must fit into the time of a call on arrival. Calls of which the wait would just
 * fit would often be refused later, after they were held in vain.
 */
const ARRIVAL_MARGIN = 1.5;

/** The state of one service. */
interface ServiceGate {
  limit: DispatchLimit;
  rates: PermitRates;
  refusals: RefusalLog;
  time: ServiceTime;
}

export class PermitGate {
  private readonly queue = new CallQueue<PermitTicket>();
  private readonly reporter = new WaitingReporter();
  private readonly services = new Map<string, ServiceGate>();
  private otherWaiting = new Map<string, number>();
  private figuresAt = Number.NEGATIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;

  constructor(private readonly options: PermitGateOptions) {
    const { queue } = this;
    options.metrics.addGauges({ calls: () => queue.size, bytes: () => queue.bytes });
  }

  /** Requests a permit for a call; undefined if it needs none. */
  request(call: PermitCall): PermitRequest | undefined {
    if (!this.options.isActive()) return undefined;
    const now = monotonicMs();
    const { service } = call;
    const ticket = new PermitTicket(call, now, (ended, end) => this.onEnd(ended, end));
    const gate = this.gateOf(service);
    gate.refusals.check(now);
    if (this.isStopped) {
      this.refuseRemoved([ticket], 'refused-on-arrival', now);
      return ticket;
    }
    if (this.queue.countOf(service) === 0) {
      gate.rates.start(now);
      // The bounds of the queue don't apply to a call that need not wait.
      if (this.mayRelease(gate, service, now, 1)) {
        this.grant(ticket, gate, now);
        gate.rates.observe(now, [ticket.priority], [ticket.priority]);
        return ticket;
      }
    }
    this.refuseRemoved(this.queue.add(ticket), 'queue-full', now);
    this.release(service, now);
    this.reviewArrival(ticket, now);
    if (ticket.isWaiting) this.holdBytes(ticket, call);
    this.startTimer();
    return ticket;
  }

  /** Accounts for a waiting call; it is refused if it is the largest holder of an exhausted budget. */
  private holdBytes(ticket: PermitTicket, { callId, held }: PermitCall): void {
    const options: HolderOptions = {
      kind: 'waiting-call',
      callId,
      end: () => {
        this.queue.remove(ticket);
        this.refuseRemoved([ticket], 'queue-full', monotonicMs());
      },
    };
    if (held) {
      ticket.hold(changedWhileWaiting(held, options));
      return;
    }
    const holder = this.options.memoryBudget?.()?.hold(options);
    if (!holder) return;
    ticket.hold(holder);
    holder.resize(ticket.bytes);
  }

  /** Applies the other gateways' waiting calls; their calls in flight must have been applied before. */
  updateFigures(waiting: readonly WaitingCount[]): void {
    const now = monotonicMs();
    this.figuresAt = now;
    this.otherWaiting = new Map(waiting.map(({ service, calls }) => [service, calls]));
    for (const { service } of this.queue.counts()) this.release(service, now);
  }

  /** Waiting calls to report to the directory; undefined if the last report still holds. */
  report(): WaitingCount[] | undefined {
    return this.reporter.report(this.queue.counts(), monotonicMs());
  }

  /** Refuses the waiting calls and all later ones. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.timer = undefined;
    const now = monotonicMs();
    for (const { service } of this.queue.counts()) {
      const waiting = this.queue.positions(service).map(({ call }) => call);
      for (const call of waiting) this.queue.remove(call);
      this.refuseRemoved(waiting, 'refused-while-waiting', now);
    }
  }

  /** Grants permits to the first calls in order, as far as the limit allows. */
  private release(service: string, now: number): void {
    const gate = this.gateOf(service);
    const waiting = this.queue.priorities(service);
    const granted: number[] = [];
    while (this.queue.countOf(service) > 0 && this.mayRelease(gate, service, now)) {
      const ticket = this.queue.take(service)!;
      this.grant(ticket, gate, now);
      granted.push(ticket.priority);
    }
    gate.rates.observe(now, waiting, granted);
  }

  private grant(ticket: PermitTicket, { limit }: ServiceGate, now: number): void {
    limit.noteSent();
    ticket.grant(now, utilizationOf(this.options.backends(ticket.service)));
    this.note(ticket, ticket.waitedMs === undefined ? 'immediate' : 'released');
  }

  /** Without any backend, a call is not held: it is refused for that reason when it is to be sent. */
  private mayRelease(
    { limit }: ServiceGate,
    service: string,
    now: number,
    ownWaiting = this.queue.countOf(service),
  ): boolean {
    if (!this.options.isActive()) return true;
    const state = this.stateOf(service, now, ownWaiting);
    return state.backends.length === 0 || limit.available(state) >= 1;
  }

  /** Refuses a call that has to wait, if it would wait too long. */
  private reviewArrival(ticket: PermitTicket, now: number): void {
    const { service } = ticket;
    const position = this.queue.positions(service).find(({ call }) => call === ticket);
    if (!position) return;
    ticket.waitedBehind = position.ahead;
    const estimate = this.estimateOf(service, now);
    if (this.isInTime(ticket, ARRIVAL_MARGIN * estimate.waitMs(ticket.priority, position), now))
      return;
    this.queue.remove(ticket);
    this.refuse(
      ticket,
      'refused-on-arrival',
      estimate.retryAfterMs(ticket.priority, position),
      now,
    );
  }

  /** Refuses the waiting calls that would wait too long, so that others get their turn in time. */
  private review(service: string, now: number): void {
    const estimate = this.estimateOf(service, now);
    let refused = 0;
    for (const { call, ahead, aheadOfSamePriority } of this.queue.positions(service)) {
      const remaining = {
        ahead: Math.max(0, ahead - refused),
        aheadOfSamePriority: Math.max(0, aheadOfSamePriority - refused),
      };
      if (this.isInTime(call, estimate.waitMs(call.priority, remaining), now)) continue;
      this.queue.remove(call);
      const retryAfterMs = estimate.retryAfterMs(call.priority, remaining);
      this.refuse(call, 'refused-while-waiting', retryAfterMs, now);
      refused += 1;
    }
  }

  private isInTime(ticket: PermitTicket, waitMs: number, now: number): boolean {
    return now + waitMs <= ticket.latestStartMs(this.options.typicalMs(ticket.service));
  }

  private estimateOf(service: string, now: number): WaitEstimate {
    const { limit, rates } = this.gateOf(service);
    const expectedPerMs = limit.expectedRate(this.stateOf(service, now));
    const mostUrgent = this.queue.priorities(service)[0] ?? 0;
    return new WaitEstimate({ rates, expectedPerMs, mostUrgent });
  }

  private refuse(
    ticket: PermitTicket,
    outcome: WaitingOutcome,
    retryAfterMs: number,
    now: number,
  ): void {
    const { service } = ticket;
    ticket.refuse({ retryAfterMs }, now);
    this.note(ticket, outcome);
    this.gateOf(service).refusals.noteRefusal(now, {
      waiting: this.queue.countOf(service),
      otherWaiting: this.otherWaiting.get(service) ?? 0,
      retryAfterMs: Math.round(retryAfterMs),
    });
  }

  /** Refuses calls that had to leave the queue for another reason than their expected wait. */
  private refuseRemoved(
    calls: readonly PermitTicket[],
    outcome: WaitingOutcome,
    now: number,
  ): void {
    for (const call of calls) {
      const ahead = this.queue.countOf(call.service);
      const estimate = this.estimateOf(call.service, now);
      const position = { ahead, aheadOfSamePriority: 0 };
      this.refuse(call, outcome, estimate.retryAfterMs(call.priority, position), now);
    }
  }

  private onEnd(ticket: PermitTicket, { hadPermit, wasSent, isTypical }: PermitEnd): void {
    const now = monotonicMs();
    const { service } = ticket;
    if (!hadPermit) {
      this.queue.remove(ticket);
      this.note(ticket, 'abandoned', now - ticket.queuedAt);
      return;
    }
    const { limit, time } = this.gateOf(service);
    if (wasSent) {
      if (isTypical) time.observe(now - ticket.grantedAt, ticket.utilization);
      limit.noteEnded(this.stateOf(service, now));
    } else limit.noteUnused();
    if (this.queue.countOf(service) > 0) this.release(service, now);
  }

  private startTimer(): void {
    if (this.queue.size > 0) this.timer ??= setTimeout(() => this.onTimer(), REVIEW_INTERVAL_MS);
  }

  private onTimer(): void {
    this.timer = undefined;
    const now = monotonicMs();
    const isOverdue = now - this.figuresAt > FIGURES_OVERDUE_MS;
    for (const { service } of this.queue.counts()) {
      if (isOverdue) this.options.onFiguresOverdue(service);
      this.review(service, now);
      this.release(service, now);
    }
    this.startTimer();
  }

  private stateOf(
    service: string,
    now: number,
    ownWaiting = this.queue.countOf(service),
  ): ServiceState {
    const { backends, typicalMs, gateways } = this.options;
    return {
      now,
      backends: backends(service),
      typicalMs: this.gateOf(service).time.typicalMs(typicalMs(service)),
      ownWaiting,
      otherWaiting: this.otherWaiting.get(service) ?? 0,
      gateways: gateways(),
      figuresAt: this.figuresAt,
    };
  }

  private gateOf(service: string): ServiceGate {
    const known = this.services.get(service);
    if (known) return known;
    const gate: ServiceGate = {
      limit: new DispatchLimit(),
      rates: new PermitRates(),
      refusals: new RefusalLog(service, this.options.logger),
      time: new ServiceTime(),
    };
    this.services.set(service, gate);
    return gate;
  }

  private note(ticket: PermitTicket, outcome: WaitingOutcome, waitedMs = ticket.waitedMs): void {
    this.options.metrics.note(ticket.service, outcome, waitedMs ?? 0);
  }
}

/** Lets a holder give way for as long as its call waits. */
function changedWhileWaiting(held: MemoryHolder, options: HolderOptions): HeldBytes {
  const running = held.options;
  held.changeTo({ ...options, peer: running.peer });
  return { release: () => held.changeTo(running) };
}
