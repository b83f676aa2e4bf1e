/** Counters of the internal protocol of this process, over all its connections; they only grow. */

export interface WireCounters {
  /** Reads of sockets. A read may contain several messages, or a part of one. */
  reads: number;
  messagesReceived: number;
  /** Writes to sockets; the messages that are sent in one turn of the event loop are written together. */
  writes: number;
  messagesSent: number;
}

export const wireCounters: WireCounters = {
  reads: 0,
  messagesReceived: 0,
  writes: 0,
  messagesSent: 0,
};

/** Requests and notifications by method, without their responses; they only grow. */
export class MethodCounts {
  private readonly counts = new Map<string, number>();

  note(method: string): void {
    this.counts.set(method, (this.counts.get(method) ?? 0) + 1);
  }

  read(): ReadonlyMap<string, number> {
    return new Map(this.counts);
  }
}

export const receivedByMethod = new MethodCounts();
export const sentByMethod = new MethodCounts();
