/** Serializes the faults of each process. */
export class ProcessLocks {
  private readonly tails = new Map<string, Promise<void>>();

  /** Runs `work` after all earlier work on the same process has ended. */
  async runExclusive(processName: string, work: () => Promise<void>): Promise<void> {
    const previous = this.tails.get(processName) ?? Promise.resolve();
    const current = previous.then(work);
    this.tails.set(
      processName,
      current.catch(() => undefined),
    );
    await current;
  }
}
