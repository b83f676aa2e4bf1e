/** One call under way in this gateway, shared by all copies of the request that reach it. */
import { Deferred, SignalEvent } from '../common/index.js';
import type { CallResult } from './call-result.js';

export class CallExecution {
  /** The answer so far. */
  text = '';
  /** Raised each time the answer begins anew because an engine was lost. */
  generation = 0;
  private readonly settled = new Deferred<CallResult>();
  private readonly progress = new SignalEvent();
  private finalResult: CallResult | undefined;

  get result(): Promise<CallResult> {
    return this.settled.promise;
  }

  /** The result once there is one. */
  get currentResult(): CallResult | undefined {
    return this.finalResult;
  }

  append(text: string): void {
    if (text.length === 0) return;
    this.text += text;
    this.progress.notify();
  }

  /** Drops the answer so far: another attempt may answer differently. */
  restart(): void {
    if (this.text.length === 0) return;
    this.text = '';
    this.generation += 1;
    this.progress.notify();
  }

  finish(result: CallResult): void {
    this.finalResult = result;
    this.settled.resolve(result);
    this.progress.notify();
  }

  /** Resolves at the next change. */
  waitProgress(): Promise<void> {
    return this.progress.wait();
  }
}
