/**
 * Calls of one service and priority in the order of start-time fair queueing over tenants: each tenant with waiting
 * calls gets equally many turns, however many calls it has. Every call counts as one unit of work.
 */
import type { WaitingCall } from './waiting-call.js';

/** The waiting calls of one tenant. */
interface TenantQueue<Call> {
  /** Start tag of the tenant's first call; the next ones follow at distances of 1. */
  startTag: number;
  /** Most urgent call first. */
  calls: Call[];
}

export class FairTenantQueue<Call extends WaitingCall> {
  private readonly tenants = new Map<string, TenantQueue<Call>>();
  /** Start tags of tenants without waiting calls that are ahead of the virtual time, in increasing order. */
  private readonly idleTags = new Map<string, number>();
  /** Start tag of the call taken last. */
  private virtualTime = 0;
  private count = 0;

  get size(): number {
    return this.count;
  }

  add(call: Call): void {
    const { tenant } = call;
    let queue = this.tenants.get(tenant);
    if (!queue) {
      const startTag = Math.max(this.virtualTime, this.idleTags.get(tenant) ?? 0);
      this.idleTags.delete(tenant);
      queue = { startTag, calls: [] };
      this.tenants.set(tenant, queue);
    }
    const position = queue.calls.findIndex((other) => compareWithinTenant(call, other) < 0);
    queue.calls.splice(position < 0 ? queue.calls.length : position, 0, call);
    this.count += 1;
  }

  /** Removes the first call in order. */
  take(): Call | undefined {
    let next: TenantQueue<Call> | undefined;
    for (const queue of this.tenants.values()) {
      if (!next || queue.startTag < next.startTag) next = queue;
    }
    const call = next?.calls[0];
    if (!next || !call) return undefined;
    this.virtualTime = next.startTag;
    next.startTag += 1;
    this.removeAt(next, 0, call.tenant);
    this.discardPassedTags();
    return call;
  }

  /** @returns whether the call was waiting */
  remove(call: Call): boolean {
    const queue = this.tenants.get(call.tenant);
    const position = queue?.calls.indexOf(call) ?? -1;
    if (!queue || position < 0) return false;
    this.removeAt(queue, position, call.tenant);
    return true;
  }

  /** All calls, first in order first. */
  inOrder(): Call[] {
    const tagged = [...this.tenants.values()].flatMap(({ startTag, calls }) =>
      calls.map((call, position) => ({ call, tag: startTag + position })),
    );
    return tagged.sort((left, right) => left.tag - right.tag).map(({ call }) => call);
  }

  private removeAt(queue: TenantQueue<Call>, position: number, tenant: string): void {
    queue.calls.splice(position, 1);
    this.count -= 1;
    if (queue.calls.length > 0) return;
    this.tenants.delete(tenant);
    if (queue.startTag > this.virtualTime) this.idleTags.set(tenant, queue.startTag);
  }

  /** Tags that the virtual time has passed have no effect. Without waiting calls, no tag has one. */
  private discardPassedTags(): void {
    if (this.count === 0) this.idleTags.clear();
    for (const [tenant, tag] of this.idleTags) {
      if (tag > this.virtualTime) return;
      this.idleTags.delete(tenant);
    }
  }
}

/** Programs that have begun first, then those that can still be on time, then the least remaining time first. */
function compareWithinTenant(left: WaitingCall, right: WaitingCall): number {
  if (left.hasBegun !== right.hasBegun) return left.hasBegun ? -1 : 1;
  const isLeftLate = left.isProgramLate ?? false;
  const isRightLate = right.isProgramLate ?? false;
  if (isLeftLate !== isRightLate) return isLeftLate ? 1 : -1;
  return dueAt(left) - dueAt(right);
}

function dueAt({ programDeadlineMs, deadlineMs }: WaitingCall): number {
  return programDeadlineMs ?? deadlineMs;
}
