/** A promise that is settled from outside. */
export class Deferred<T> {
  readonly promise: Promise<T>;
  resolve!: (value: T) => void;
  reject!: (error: unknown) => void;

  constructor() {
    this.promise = new Promise<T>((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
    });
    // A rejection that nobody awaits yet must not end the process.
    this.promise.catch(() => undefined);
  }
}
