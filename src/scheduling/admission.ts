/**
 * Admission: a call gets a back end that has room, or waits in a bounded queue for one. Who waits is
 * served in the order of the queue policy.
 */
import { Deferred, monotonicMs } from '../common/index.js';
import type { Backend } from '../backends/index.js';
import { type RoutingPolicy, type RoutingRequest, cachedTokensAt } from '../routing/index.js';
import { type QueuePolicy, type WaitingCall } from './queue-policy.js';

export interface AdmissionRequest extends RoutingRequest {
  tenant: string;
  /** Tokens that the whole program has been given so far. */
  attainedService: number;
  /** The back ends that serve the call, in whatever state; read anew at each try. */
  candidates: () => Backend[];
  /** Back ends to avoid while there are others, for example because they just failed. */
  excluded: ReadonlySet<string>;
}

export type AdmissionResult =
  | { kind: 'admitted'; backend: Backend; release: () => void }
  | { kind: 'overloaded'; retryAfterMs: number }
  | { kind: 'no-backend' };

export interface AdmissionOptions {
  maxWaiting: number;
  maxWaitMs: number;
  routing: RoutingPolicy;
  queue: QueuePolicy;
}

interface Waiting extends WaitingCall {
  request: AdmissionRequest;
  deferred: Deferred<AdmissionResult>;
  timer: NodeJS.Timeout;
}

const MINIMUM_RETRY_AFTER_MS = 100;
const MAXIMUM_RETRY_AFTER_MS = 5_000;
/** How often those who wait look for back ends that came or became healthy again. */
const RECHECK_INTERVAL_MS = 100;
/** Weight of the latest completion in the average time between completions. */
const COMPLETION_WEIGHT = 0.1;

export class Admission {
  private readonly waiting = new Set<Waiting>();
  private readonly recheck: NodeJS.Timeout;
  private lastReleaseMs = monotonicMs();
  private averageReleaseGapMs = 10;

  constructor(private readonly options: AdmissionOptions) {
    this.recheck = setInterval(() => this.serveWaiting(), RECHECK_INTERVAL_MS);
  }

  get waitingCalls(): number {
    return this.waiting.size;
  }

  close(): void {
    clearInterval(this.recheck);
  }

  acquire(request: AdmissionRequest): Promise<AdmissionResult> {
    const candidates = request.candidates();
    if (candidates.length === 0) return Promise.resolve({ kind: 'no-backend' });
    const backend = this.waiting.size === 0 ? this.choose(request) : undefined;
    if (backend) return Promise.resolve(this.admit(backend, request));
    if (this.waiting.size >= this.options.maxWaiting) {
      return Promise.resolve({ kind: 'overloaded', retryAfterMs: this.retryAfterMs() });
    }
    return this.enqueue(request);
  }

  private enqueue(request: AdmissionRequest): Promise<AdmissionResult> {
    const deferred = new Deferred<AdmissionResult>();
    const { tenant, attainedService } = request;
    const enqueuedAtMs = monotonicMs();
    const timer = setTimeout(() => {
      this.waiting.delete(entry);
      deferred.resolve({ kind: 'overloaded', retryAfterMs: this.retryAfterMs() });
    }, this.options.maxWaitMs);
    const entry: Waiting = { request, deferred, timer, tenant, attainedService, enqueuedAtMs };
    this.waiting.add(entry);
    this.serveWaiting();
    return deferred.promise;
  }

  private serveWaiting(): void {
    if (this.waiting.size === 0) return;
    for (const entry of this.options.queue.order([...this.waiting])) {
      const backend = this.choose(entry.request);
      if (!backend) continue;
      this.waiting.delete(entry);
      clearTimeout(entry.timer);
      entry.deferred.resolve(this.admit(backend, entry.request));
    }
  }

  private choose(request: AdmissionRequest): Backend | undefined {
    const open = this.openCandidates(request);
    const free = open.filter((backend) => backend.limit.hasRoom);
    if (free.length === 0) return undefined;
    const choice = this.options.routing.choose(open, request);
    return choice.limit.hasRoom ? choice : this.options.routing.choose(free, request);
  }

  /** Back ends that failed the call before come last: only when there is no other at all. */
  private openCandidates(request: AdmissionRequest): Backend[] {
    const open = request.candidates().filter((backend) => backend.takesNewWork);
    const untried = open.filter((backend) => !request.excluded.has(backend.id));
    return untried.length > 0 ? untried : open;
  }

  private admit(backend: Backend, request: AdmissionRequest): AdmissionResult {
    const cached = cachedTokensAt(backend, request);
    backend.limit.acquire();
    backend.breaker.noteSent();
    backend.noteDispatched(request.promptTokens - cached);
    this.options.queue.noteServed(request.tenant, request.promptTokens);
    let isReleased = false;
    const release = (): void => {
      if (isReleased) return;
      isReleased = true;
      backend.limit.release();
      this.noteRelease();
      this.serveWaiting();
    };
    return { kind: 'admitted', backend, release };
  }

  private noteRelease(): void {
    const now = monotonicMs();
    const gap = now - this.lastReleaseMs;
    this.lastReleaseMs = now;
    this.averageReleaseGapMs += COMPLETION_WEIGHT * (gap - this.averageReleaseGapMs);
  }

  /** When the queue of now will likely be served. */
  private retryAfterMs(): number {
    const estimate = this.averageReleaseGapMs * (this.waiting.size + 1);
    return Math.min(MAXIMUM_RETRY_AFTER_MS, Math.max(MINIMUM_RETRY_AFTER_MS, Math.round(estimate)));
  }
}
