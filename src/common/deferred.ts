function ignore(): void {}

/** A promise with public `resolve` and `reject`. */
export class Deferred<T> {
  readonly promise: Promise<T>;
  resolve!: (value: T) => void;
  reject!: (error: unknown) => void;

  constructor() {
    this.promise = new Promise<T>((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
    });
    // A rejection while nothing awaits the promise yet must not terminate the process.
    this.promise.catch(ignore);
  }
}
