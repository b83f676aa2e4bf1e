/**
 * One sync for all that ask for it together. Whoever asks while one is under way waits for the next, since
 * what it wrote may have come too late for that one.
 */
export class SharedSync {
  private running: Promise<void> | undefined;
  private next: Promise<void> | undefined;

  constructor(private readonly sync: () => Promise<void>) {}

  /** Resolves when everything written before is durable; fails as the sync does. */
  run(): Promise<void> {
    if (!this.running) return this.start();
    this.next ??= this.running.catch(() => undefined).then(() => this.start());
    return this.next;
  }

  private start(): Promise<void> {
    this.next = undefined;
    const running = this.sync().finally(() => {
      if (this.running === running) this.running = undefined;
    });
    this.running = running;
    return running;
  }
}
