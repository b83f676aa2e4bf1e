/** The calls between their arrival and their final response, and how a planned stop ends them. */
import { Deferred, sleep } from '../common/index.js';
import type { CallExchange } from './call-exchange.js';
import type { CallOutcome, CallRun } from './call-run.js';

/** A call could not be completed before the end of the process. */
export class InterruptedError extends Error {
  constructor(readonly outcome: CallOutcome) {
    super('the process ends');
  }
}

/** Time for interrupted calls to end by themselves, so that they are settled, in milliseconds. */
const INTERRUPTION_MS = 50;

export class ActiveCall {
  /** Sends the call; undefined before it may be sent. */
  run: CallRun | undefined;
  /** Whether it has its final response, so that later results don't count. */
  isEnded = false;
  private readonly interruption = new Deferred<never>();

  constructor(readonly exchange: CallExchange) {
    // Not every call waits for it.
    this.interruption.promise.catch(() => undefined);
  }

  /** Rejects with an InterruptedError if the call has to end now, whatever it waits for. */
  get interrupted(): Promise<never> {
    return this.interruption.promise;
  }

  interrupt(): void {
    this.isEnded = true;
    this.interruption.reject(new InterruptedError(this.interruptedOutcome));
  }

  private get interruptedOutcome(): CallOutcome {
    if (!this.run?.mayHaveReachedBackend) return { kind: 'refused', reason: 'shutting-down' };
    if (this.run.response.hasBegun) return { kind: 'broken-off' };
    return { kind: 'refused', reason: 'outcome-unknown' };
  }
}

export class ActiveCalls {
  private readonly calls = new Set<ActiveCall>();

  begin(exchange: CallExchange): ActiveCall {
    const call = new ActiveCall(exchange);
    this.calls.add(call);
    return call;
  }

  end(call: ActiveCall): void {
    call.isEnded = true;
    this.calls.delete(call);
  }

  /** Has calls that wait to be sent, and could not end in time, refused at once. */
  noteShutdown(): void {
    for (const { run } of this.calls) run?.noteShutdown();
  }

  /** Ends all calls. Resolves once each has its final response. */
  async interruptAll(): Promise<void> {
    if (this.calls.size === 0) return;
    for (const { run } of this.calls) run?.interrupt();
    await sleep(INTERRUPTION_MS);
    for (const call of this.calls) call.interrupt();
    // The calls are given their responses in continuations of the rejected promises.
    await sleep(0);
  }
}
