/** The calls that wait in this process, ordered for each service and bounded in number and size. */
import { type QueuePosition, ServiceQueue } from './service-queue.js';
import type { WaitingCall, WaitingCount } from './waiting-call.js';

/** Bounds of the waiting calls of one process. */
export interface QueueBounds {
  calls: number;
  bytes: number;
}

const BYTES_PER_MB = 1_000_000;
/** A gateway has little memory, and its calls time out long before it could send that many. */
export const DEFAULT_QUEUE_BOUNDS: QueueBounds = { calls: 256, bytes: 8 * BYTES_PER_MB };

export class CallQueue<Call extends WaitingCall> {
  private readonly services = new Map<string, ServiceQueue<Call>>();

  constructor(private readonly bounds: QueueBounds = DEFAULT_QUEUE_BOUNDS) {}

  /** Number of waiting calls. */
  get size(): number {
    return this.sumOver((queue) => queue.size);
  }

  /** Bytes held by the waiting calls. */
  get bytes(): number {
    return this.sumOver((queue) => queue.bytes);
  }

  /**
   * A call that alone exceeds the bound of bytes counts as the bound, so that it can wait if nothing else does.
   * @returns the calls that no longer fit and are not waiting any more; the added call may be among them
   */
  add(call: Call): Call[] {
    this.queueOf(call.service).add(call);
    const removed: Call[] = [];
    while (this.size > this.bounds.calls || this.bytes > this.bounds.bytes) {
      const last = this.last()!;
      this.remove(last);
      removed.push(last);
    }
    return removed;
  }

  /** Removes the first call in order of a service. */
  take(service: string): Call | undefined {
    const call = this.services.get(service)?.take();
    if (call) this.discardIfEmpty(service);
    return call;
  }

  /** @returns whether the call was waiting */
  remove(call: Call): boolean {
    const isRemoved = this.services.get(call.service)?.remove(call) ?? false;
    if (isRemoved) this.discardIfEmpty(call.service);
    return isRemoved;
  }

  countOf(service: string): number {
    return this.services.get(service)?.size ?? 0;
  }

  /** Services with waiting calls. */
  counts(): WaitingCount[] {
    return [...this.services].map(([service, queue]) => ({ service, calls: queue.size }));
  }

  /** Priorities of the waiting calls of a service, the most urgent first. */
  priorities(service: string): number[] {
    return this.services.get(service)?.priorities ?? [];
  }

  /** The calls of a service with the number of calls that will be taken before each. */
  positions(service: string): QueuePosition<Call>[] {
    return this.services.get(service)?.positions() ?? [];
  }

  /** The least urgent of the services' last calls; among equals, that of the service that holds most. */
  private last(): Call | undefined {
    const isTooMany = this.size > this.bounds.calls;
    const heldBy = (queue: ServiceQueue<Call>): number => (isTooMany ? queue.size : queue.bytes);
    let found: { call: Call; held: number } | undefined;
    for (const queue of this.services.values()) {
      const call = queue.last;
      if (!call) continue;
      const held = heldBy(queue);
      const isLater =
        !found ||
        call.priority > found.call.priority ||
        (call.priority === found.call.priority && held > found.held);
      if (isLater) found = { call, held };
    }
    return found?.call;
  }

  private queueOf(service: string): ServiceQueue<Call> {
    const known = this.services.get(service);
    if (known) return known;
    const queue = new ServiceQueue<Call>(this.bounds.bytes);
    this.services.set(service, queue);
    return queue;
  }

  /** A removed service must not leave its queue behind. */
  private discardIfEmpty(service: string): void {
    if (this.countOf(service) === 0) this.services.delete(service);
  }

  private sumOver(valueOf: (queue: ServiceQueue<Call>) => number): number {
    let sum = 0;
    for (const queue of this.services.values()) sum += valueOf(queue);
    return sum;
  }
}
