/** Waiting calls of one service: the most urgent priority first, without starving the others. */
import { FairTenantQueue } from './fair-tenant-queue.js';
import type { WaitingCall } from './waiting-call.js';

/** A waiting call with the numbers of calls that will be taken before it, if no others arrive. */
export interface QueuePosition<Call extends WaitingCall> {
  call: Call;
  ahead: number;
  /** Those of the same priority. */
  aheadOfSamePriority: number;
}

/** Calls of more urgent priorities after which a waiting less urgent call is taken: one in eight. */
export const MAX_PASSED_OVER = 7;

interface PriorityClass<Call extends WaitingCall> {
  priority: number;
  queue: FairTenantQueue<Call>;
  /** Calls of more urgent priorities taken while calls of this one waited, since it was last taken from. */
  passedOver: number;
}

export class ServiceQueue<Call extends WaitingCall> {
  /** The most urgent first. */
  private readonly classes: PriorityClass<Call>[] = [];
  private heldBytes = 0;

  /** @param maxCallBytes larger calls count as this size */
  constructor(private readonly maxCallBytes: number) {}

  get size(): number {
    return this.classes.reduce((sum, { queue }) => sum + queue.size, 0);
  }

  get bytes(): number {
    return this.heldBytes;
  }

  /** The last call in order. */
  get last(): Call | undefined {
    return this.waitingClasses().at(-1)?.queue.inOrder().at(-1);
  }

  /** Priorities with waiting calls, the most urgent first. */
  get priorities(): number[] {
    return this.waitingClasses().map(({ priority }) => priority);
  }

  add(call: Call): void {
    this.classOf(call.priority).queue.add(call);
    this.heldBytes += this.sizeOf(call);
  }

  /** Removes the first call in order. */
  take(): Call | undefined {
    const waiting = this.waitingClasses();
    const next = starvedClass(waiting) ?? waiting[0];
    const call = next?.queue.take();
    if (!next || !call) return undefined;
    next.passedOver = 0;
    for (const other of waiting) if (other.priority > next.priority) other.passedOver += 1;
    this.heldBytes -= this.sizeOf(call);
    return call;
  }

  /** @returns whether the call was waiting */
  remove(call: Call): boolean {
    const isRemoved = this.classOf(call.priority).queue.remove(call);
    if (isRemoved) this.heldBytes -= this.sizeOf(call);
    return isRemoved;
  }

  /** All calls. A less urgent one waits for all more urgent ones, or for its turn of one in eight, if that is earlier. */
  positions(): QueuePosition<Call>[] {
    let moreUrgent = 0;
    return this.waitingClasses().flatMap(({ queue }) => {
      const urgentCalls = moreUrgent;
      moreUrgent += queue.size;
      return queue.inOrder().map((call, position) => ({
        call,
        aheadOfSamePriority: position,
        ahead: position + Math.min(urgentCalls, (position + 1) * MAX_PASSED_OVER),
      }));
    });
  }

  private sizeOf({ bytes }: Call): number {
    return Math.min(bytes, this.maxCallBytes);
  }

  private waitingClasses(): PriorityClass<Call>[] {
    return this.classes.filter(({ queue }) => queue.size > 0);
  }

  private classOf(priority: number): PriorityClass<Call> {
    const known = this.classes.find((other) => other.priority === priority);
    if (known) return known;
    const created = { priority, queue: new FairTenantQueue<Call>(), passedOver: 0 };
    this.classes.push(created);
    this.classes.sort((left, right) => left.priority - right.priority);
    return created;
  }
}

/** The class that was passed over most often, if that is often enough. */
function starvedClass<Call extends WaitingCall>(
  waiting: readonly PriorityClass<Call>[],
): PriorityClass<Call> | undefined {
  let starved: PriorityClass<Call> | undefined;
  for (const candidate of waiting) {
    if (candidate.passedOver < MAX_PASSED_OVER) continue;
    if (!starved || candidate.passedOver > starved.passedOver) starved = candidate;
  }
  return starved;
}
