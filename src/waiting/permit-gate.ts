/**
 * Lets calls wait in this gateway until a backend can soon process them. A call gets a permit when the limit of its
 * service allows one more call and no other call is ahead of it; it is refused at once when it would not be served in
 * time.
 */
import { monotonicMs } from '../common/index.js';
import type { Logger } from '../observability/index.js';
import { CallQueue } from './call-queue.js';
import { type BackendOccupancy, DispatchLimit, type ServiceState } from './dispatch-limit.js';
import { PermitRate } from './permit-rate.js';
import { type PermitCall, type PermitRequest, PermitTicket } from './permit-request.js';
import { RefusalLog } from './refusal-log.js';
import type { WaitingCount } from './waiting-call.js';
import type { WaitingMetrics, WaitingOutcome } from './waiting-metrics.js';
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
  logger: Logger;
  metrics: WaitingMetrics;
}

/** Interval at which waiting calls are reviewed, in milliseconds: about the time in which an engine ends a call. */
const REVIEW_INTERVAL_MS = 25;
/** Maximum retry delay, in milliseconds, so that calls are admitted soon after an overload. */
const MAX_RETRY_MS = 1_000;

/** The state of one service. */
interface ServiceGate {
  limit: DispatchLimit;
  rate: PermitRate;
  refusals: RefusalLog;
  /** End of the last observation of the rate (monotonic, milliseconds). */
  observedAt: number;
}

export class PermitGate {
  private readonly queue = new CallQueue<PermitTicket>();
  private readonly reporter = new WaitingReporter();
  private readonly services = new Map<string, ServiceGate>();
  private otherWaiting = new Map<string, number>();
  private figuresAt = Number.NEGATIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: PermitGateOptions) {
    const { queue } = this;
    options.metrics.addGauges({ calls: () => queue.size, bytes: () => queue.bytes });
  }

  /** Requests a permit for a call; undefined if it needs none. */
  request(call: PermitCall): PermitRequest | undefined {
    if (!this.options.isActive()) return undefined;
    const now = monotonicMs();
    const { service } = call;
    const ticket = new PermitTicket(call, now, (...end) => this.onEnd(...end));
    const gate = this.gateOf(service, now);
    gate.refusals.check(now);
    if (this.queue.countOf(service) === 0) gate.observedAt = now;
    for (const removed of this.queue.add(ticket)) this.refuse(removed, 0, 'queue-full', now);
    this.release(service, now);
    this.reviewArrival(ticket, now);
    this.startTimer();
    return ticket;
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

  /** Refuses the waiting calls. */
  stop(): void {
    clearTimeout(this.timer);
    const now = monotonicMs();
    for (const { service } of this.queue.counts()) {
      for (const { call } of this.queue.positions(service)) {
        this.queue.remove(call);
        this.refuse(call, 0, 'refused-while-waiting', now);
      }
    }
  }

  /** Grants permits to the first calls in order, as far as the limit allows. */
  private release(service: string, now: number): void {
    const gate = this.gateOf(service, now);
    let granted = 0;
    while (this.queue.countOf(service) > 0 && this.mayRelease(gate, service, now)) {
      const ticket = this.queue.take(service)!;
      gate.limit.noteSent();
      ticket.grant(now);
      this.note(ticket, ticket.waitedMs === undefined ? 'immediate' : 'released');
      granted += 1;
    }
    gate.rate.observe(now - gate.observedAt, granted);
    gate.observedAt = now;
  }

  /** Without any backend, a call is not held: it is refused for that reason when it is to be sent. */
  private mayRelease({ limit }: ServiceGate, service: string, now: number): boolean {
    if (!this.options.isActive()) return true;
    const state = this.stateOf(service, now);
    return state.backends.length === 0 || limit.available(state) >= 1;
  }

  /** Refuses a call that has to wait, if it would wait too long. */
  private reviewArrival(ticket: PermitTicket, now: number): void {
    const { service } = ticket;
    const position = this.queue.positions(service).find(({ call }) => call === ticket);
    if (!position) return;
    ticket.waitedBehind = position.ahead;
    if (this.isInTime(ticket, position.ahead, now)) return;
    this.queue.remove(ticket);
    this.refuse(ticket, position.ahead, 'refused-on-arrival', now);
  }

  /** Refuses the waiting calls that would wait too long, so that others get their turn in time. */
  private review(service: string, now: number): void {
    let refused = 0;
    for (const { call, ahead } of this.queue.positions(service)) {
      const remaining = Math.max(0, ahead - refused);
      if (this.isInTime(call, remaining, now)) continue;
      this.queue.remove(call);
      this.refuse(call, remaining, 'refused-while-waiting', now);
      refused += 1;
    }
  }

  private isInTime(ticket: PermitTicket, ahead: number, now: number): boolean {
    const { service } = ticket;
    const startMs = now + ahead / this.ratePerMs(service, now);
    return startMs <= ticket.latestStartMs(this.options.typicalMs(service));
  }

  private refuse(ticket: PermitTicket, ahead: number, outcome: WaitingOutcome, now: number): void {
    const { service } = ticket;
    const perMs = this.ratePerMs(service, now);
    const retryAfterMs = Math.min(MAX_RETRY_MS, (ahead + 1) / perMs);
    ticket.refuse({ retryAfterMs }, now);
    this.note(ticket, outcome);
    this.gateOf(service, now).refusals.noteRefusal(now, {
      waiting: this.queue.countOf(service),
      otherWaiting: this.otherWaiting.get(service) ?? 0,
      retryAfterMs: Math.round(retryAfterMs),
    });
  }

  private ratePerMs(service: string, now: number): number {
    const { limit, rate } = this.gateOf(service, now);
    return rate.perMs(limit.expectedRate(this.stateOf(service, now)));
  }

  private onEnd(ticket: PermitTicket, hadPermit: boolean, wasSent: boolean): void {
    const now = monotonicMs();
    const { service } = ticket;
    if (!hadPermit) {
      this.queue.remove(ticket);
      this.note(ticket, 'abandoned', now - ticket.queuedAt);
      return;
    }
    const { limit } = this.gateOf(service, now);
    if (wasSent) limit.noteEnded(this.stateOf(service, now));
    else limit.noteUnused();
    if (this.queue.countOf(service) > 0) this.release(service, now);
  }

  private startTimer(): void {
    if (this.queue.size > 0) this.timer ??= setTimeout(() => this.onTimer(), REVIEW_INTERVAL_MS);
  }

  private onTimer(): void {
    this.timer = undefined;
    const now = monotonicMs();
    for (const { service } of this.queue.counts()) {
      this.review(service, now);
      this.release(service, now);
    }
    this.startTimer();
  }

  private stateOf(service: string, now: number): ServiceState {
    const { backends, typicalMs, gateways } = this.options;
    return {
      now,
      backends: backends(service),
      typicalMs: typicalMs(service),
      ownWaiting: this.queue.countOf(service),
      otherWaiting: this.otherWaiting.get(service) ?? 0,
      gateways: gateways(),
      figuresAt: this.figuresAt,
    };
  }

  private gateOf(service: string, now: number): ServiceGate {
    const known = this.services.get(service);
    if (known) return known;
    const gate: ServiceGate = {
      limit: new DispatchLimit(),
      rate: new PermitRate(),
      refusals: new RefusalLog(service, this.options.logger),
      observedAt: now,
    };
    this.services.set(service, gate);
    return gate;
  }

  private note(ticket: PermitTicket, outcome: WaitingOutcome, waitedMs = ticket.waitedMs): void {
    this.options.metrics.note(ticket.service, outcome, waitedMs ?? 0);
  }
}
