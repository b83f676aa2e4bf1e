/** A call in progress in this gateway, shared by all duplicates of its request. */
import { Deferred, SignalEvent } from '../common/index.js';
import type { CallResult } from './call-result.js';

export class CallExecution {
  /** Text received so far. */
  text = '';
  /** Incremented each time the text starts over because an engine was lost. */
  generation = 0;
  private readonly settled = new Deferred<CallResult>();
  private readonly progress = new SignalEvent();
  private finalResult: CallResult | undefined;

  get result(): Promise<CallResult> {
    return this.settled.promise;
  }

  /** Undefined while the call is in progress. */
  get currentResult(): CallResult | undefined {
    return this.finalResult;
  }

  append(text: string): void {
    if (text.length === 0) return;
    this.text += text;
    this.progress.notify();
  }

  /** Discards the text received so far, since another attempt may produce different text. */
  restart(): void {
    if (this.text.length === 0) return;
    this.text = '';
    this.generation += 1;
    this.progress.notify();
  }

  /** The first result counts. */
  finish(result: CallResult): void {
    if (this.finalResult !== undefined) return;
    this.finalResult = result;
    this.settled.resolve(result);
    this.progress.notify();
  }

  /** Resolves at the next change. */
  waitProgress(): Promise<void> {
    return this.progress.wait();
  }
}
