/** Ends waits for the control processes when this gateway is found to be cut off from them. */

export class CutOffSignal {
  private cutOff = false;
  private readonly listeners = new Set<() => void>();

  get isCutOff(): boolean {
    return this.cutOff;
  }

  set(isCutOff: boolean): void {
    if (this.cutOff === isCutOff) return;
    this.cutOff = isCutOff;
    if (isCutOff) for (const listener of [...this.listeners]) listener();
  }

  /**
   * Settles like `work`, or rejects once the gateway is cut off. The work itself goes on.
   * @param createError error of a wait that ends early
   */
  endWaitWhenCutOff<Result>(work: Promise<Result>, createError: () => Error): Promise<Result> {
    return new Promise<Result>((resolve, reject) => {
      const listener = (): void => reject(createError());
      this.listeners.add(listener);
      void work.then(resolve, reject).finally(() => this.listeners.delete(listener));
    });
  }
}
