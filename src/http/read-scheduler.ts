/** Shares the event loop among the connections that have sent more than one part at once. */

/** A connection with received bytes that are not parsed yet. */
export interface ReadTask {
  /** Parses a bounded part. Adds itself again if there is more. */
  readNext(): void;
}

/** Parts that are parsed in one turn of the event loop. */
const PARTS_PER_TURN = 16;

/** A queue of connections, each of which gets one part parsed before any gets another. */
export class ReadScheduler {
  /** In order of insertion. */
  private readonly waiting = new Set<ReadTask>();
  private isScheduled = false;

  /** Number of connections with received bytes that may be parsed and wait for their turn. */
  get size(): number {
    return this.waiting.size;
  }

  add(task: ReadTask): void {
    this.waiting.add(task);
    this.schedule();
  }

  delete(task: ReadTask): void {
    this.waiting.delete(task);
  }

  private schedule(): void {
    if (this.isScheduled || this.waiting.size === 0) return;
    this.isScheduled = true;
    setImmediate(() => this.run());
  }

  private run(): void {
    this.isScheduled = false;
    try {
      this.readParts();
    } finally {
      this.schedule();
    }
  }

  private readParts(): void {
    for (let parts = 0; parts < PARTS_PER_TURN; parts += 1) {
      const [task] = this.waiting;
      if (!task) return;
      this.waiting.delete(task);
      task.readNext();
    }
  }
}

/** The scheduler of all HTTP servers of this process, which share one event loop. */
export const processReadScheduler = new ReadScheduler();
