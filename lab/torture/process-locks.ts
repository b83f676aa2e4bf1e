/** One fault at a time for each process. */
export class ProcessLocks {
  private readonly tails = new Map<string, Promise<void>>();

  /** Runs `work` once all earlier work on the same process has ended. */
  async runExclusive(process: string, work: () => Promise<void>): Promise<void> {
    const before = this.tails.get(process) ?? Promise.resolve();
    const own = before.then(work);
    this.tails.set(
      process,
      own.catch(() => undefined),
    );
    await own;
  }
}
