/**
 * Admission control: a call is assigned a backend with free capacity, or waits for one in a bounded
 * queue, which is served in the order of the queue policy.
 */
import { Deferred, monotonicMs } from '../common/index.js';
import type { Backend } from '../backends/index.js';
import { type RoutingPolicy, type RoutingRequest, cachedTokensAt } from '../routing/index.js';
import { type QueuePolicy, type WaitingCall } from './queue-policy.js';

export interface AdmissionRequest extends RoutingRequest {
  tenant: string;
  /** Tokens processed for the whole program so far. */
  attainedService: number;
  /** Backends that serve the call, in any state; evaluated again at each attempt. */
  candidates: () => Backend[];
  /** Backends to avoid while there are alternatives, for example because they just failed. */
  excluded: ReadonlySet<string>;
}

export type AdmissionResult =
  | { kind: 'admitted'; backend: Backend; release: () => void }
  | { kind: 'overloaded'; retryAfterMs: number }
  | { kind: 'no-backend' }
  /** Admission has ended, because the process is about to. */
  | { kind: 'closed' };

export interface AdmissionOptions {
  maxWaiting: number;
  maxWaitMs: number;
  routing: RoutingPolicy;
  queue: QueuePolicy;
}

interface QueueEntry extends WaitingCall {
  request: AdmissionRequest;
  deferred: Deferred<AdmissionResult>;
  timer: NodeJS.Timeout;
}

const MINIMUM_RETRY_AFTER_MS = 100;
const MAXIMUM_RETRY_AFTER_MS = 5_000;
/** How often the queue is checked for backends that were added or have recovered. */
const RECHECK_INTERVAL_MS = 100;
/** Weight of the latest sample in the moving average of the time between releases. */
const RELEASE_INTERVAL_WEIGHT = 0.1;

export class Admission {
  private readonly queue = new Set<QueueEntry>();
  private readonly recheckTimer: NodeJS.Timeout;
  private isClosed = false;
  private lastReleaseMs = monotonicMs();
  private averageReleaseIntervalMs = 10;

  constructor(private readonly options: AdmissionOptions) {
    this.recheckTimer = setInterval(() => this.serveWaiting(), RECHECK_INTERVAL_MS);
  }

  get waitingCalls(): number {
    return this.queue.size;
  }

  /** Admits no further call; those that wait are told at once. */
  close(): void {
    this.isClosed = true;
    clearInterval(this.recheckTimer);
    for (const { timer, deferred } of this.queue) {
      clearTimeout(timer);
      deferred.resolve({ kind: 'closed' });
    }
    this.queue.clear();
  }

  acquire(request: AdmissionRequest): Promise<AdmissionResult> {
    if (this.isClosed) return Promise.resolve({ kind: 'closed' });
    const candidates = request.candidates();
    if (candidates.length === 0) return Promise.resolve({ kind: 'no-backend' });
    const backend = this.queue.size === 0 ? this.choose(request) : undefined;
    if (backend) return Promise.resolve(this.admit(backend, request));
    if (this.queue.size >= this.options.maxWaiting) {
      return Promise.resolve({ kind: 'overloaded', retryAfterMs: this.retryAfterMs() });
    }
    return this.enqueue(request);
  }

  private enqueue(request: AdmissionRequest): Promise<AdmissionResult> {
    const deferred = new Deferred<AdmissionResult>();
    const { tenant, attainedService } = request;
    const enqueuedAtMs = monotonicMs();
    const timer = setTimeout(() => {
      this.queue.delete(entry);
      deferred.resolve({ kind: 'overloaded', retryAfterMs: this.retryAfterMs() });
    }, this.options.maxWaitMs);
    const entry: QueueEntry = { request, deferred, timer, tenant, attainedService, enqueuedAtMs };
    this.queue.add(entry);
    this.serveWaiting();
    return deferred.promise;
  }

  private serveWaiting(): void {
    if (this.queue.size === 0) return;
    for (const entry of this.options.queue.order([...this.queue])) {
      const backend = this.choose(entry.request);
      if (!backend) continue;
      this.queue.delete(entry);
      clearTimeout(entry.timer);
      entry.deferred.resolve(this.admit(backend, entry.request));
    }
  }

  private choose(request: AdmissionRequest): Backend | undefined {
    const available = this.availableCandidates(request);
    const free = available.filter((backend) => backend.limit.hasRoom);
    if (free.length === 0) return undefined;
    const chosen = this.options.routing.choose(available, request);
    return chosen.limit.hasRoom ? chosen : this.options.routing.choose(free, request);
  }

  /** Excluded backends are candidates only when there is no other. */
  private availableCandidates(request: AdmissionRequest): Backend[] {
    const available = request.candidates().filter((backend) => backend.takesNewWork);
    const untried = available.filter((backend) => !request.excluded.has(backend.id));
    return untried.length > 0 ? untried : available;
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
    const intervalMs = now - this.lastReleaseMs;
    this.lastReleaseMs = now;
    this.averageReleaseIntervalMs +=
      RELEASE_INTERVAL_WEIGHT * (intervalMs - this.averageReleaseIntervalMs);
  }

  /** Estimated time until the current queue is drained. */
  private retryAfterMs(): number {
    const estimate = this.averageReleaseIntervalMs * (this.queue.size + 1);
    return Math.min(MAXIMUM_RETRY_AFTER_MS, Math.max(MINIMUM_RETRY_AFTER_MS, Math.round(estimate)));
  }
}
