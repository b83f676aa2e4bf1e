/**
 * One send of a call to one back end: from the choice of a connection to the whole answer, to a
 * failure of which it is known whether the back end may have run the call.
 */
import type { Dispatcher } from 'undici';
import { headerValues } from '../http/index.js';
import type { BackendConnection } from './backend-connections.js';
import type { ParsedResponseHead, BackendProtocol, RequestHead } from './backend-protocol.js';
import { type ResponseFraming, responseFraming } from './answer-end.js';
import type { ResponseHead } from './call-exchange.js';

export type SendResult =
  /** A whole answer was received. */
  | { kind: 'complete'; framing: ResponseFraming }
  /** No byte of the call reached the back end. */
  | { kind: 'not-sent'; cause: string }
  /** The back end states that it did not run the call. */
  | { kind: 'not-executed'; isOtherIncarnation: boolean }
  /** The answer, or its rest, never came; the call may have run. */
  | { kind: 'broken'; cause: string; hadHead: boolean }
  /** The owner of the call stopped it. */
  | { kind: 'stopped'; wasSent: boolean };

/** Takes the parts of an answer as they come. */
export interface ResponseSink {
  onHead(head: ResponseHead): void;
  /** @returns false to be asked for more later, through `SendAttempt.resume` */
  onData(chunk: Buffer): boolean;
  /** Why the answer is of no use, once that is known; it is given up then. */
  readonly rejectionReason?: string;
}

export interface SendAttemptOptions {
  protocol: BackendProtocol;
  connection: BackendConnection;
  request: RequestHead;
  body: Buffer;
  callId: string | undefined;
  sink: ResponseSink;
  /** Called when bytes of the answer come in. */
  onDataReceived: () => void;
}

export class SendAttempt implements Dispatcher.DispatchHandler {
  /** Whether the call may have reached the back end. */
  wasSent = false;
  /** When the head of the answer came (monotonic, milliseconds). */
  headAt: number | undefined;
  private hadHead = false;
  private stopReason: 'stopped' | 'not-executed' | 'broken' | undefined;
  private verdict: ParsedResponseHead | undefined;
  private brokenCause = '';
  private isLastOnConnection = false;
  private framing: ResponseFraming = 'close';
  private controller: Dispatcher.DispatchController | undefined;
  private finish!: (result: SendResult) => void;

  constructor(private readonly options: SendAttemptOptions) {}

  run(): Promise<SendResult> {
    const { connection, request, body } = this.options;
    return new Promise((resolve) => {
      this.finish = resolve;
      const options = {
        path: request.target,
        method: request.method as Dispatcher.HttpMethod,
        headers: request.headers,
        body: body.length > 0 ? body : null,
      };
      try {
        connection.dispatch(options, this);
      } catch (error) {
        connection.discard();
        resolve({ kind: 'not-sent', cause: String(error) });
      }
    });
  }

  /** Closes the connection, so that the back end stops working on the call. */
  stop(): void {
    this.abort('stopped');
  }

  /** Gives the answer up unless its head has come; the call may have run. */
  abortUnlessStarted(): void {
    if (this.headAt !== undefined) return;
    this.giveUp('silent for too long');
  }

  resume(): void {
    this.controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    this.wasSent = true;
    if (this.stopReason) controller.abort(new Error(this.stopReason));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    _headers: unknown,
    statusMessage?: string,
  ): void {
    if (statusCode < 200) return;
    this.headAt = performance.now();
    this.options.onDataReceived();
    const rawHeaders = textOf(controller.rawHeaders);
    const verdict = this.options.protocol.readHead(statusCode, rawHeaders);
    this.verdict = verdict;
    this.framing = responseFraming(this.options.request.method, statusCode, rawHeaders);
    this.isLastOnConnection = announcesClose(rawHeaders) || this.framing === 'close';
    if (verdict.callId !== undefined && verdict.callId !== this.options.callId) {
      this.giveUp('the answer belongs to another call');
      return;
    }
    if (verdict.isNotExecuted) {
      this.stopReason = 'not-executed';
      return;
    }
    if (!verdict.isAuthentic) {
      this.giveUp("the answer is not the back end's own");
      return;
    }
    this.hadHead = true;
    const { headers } = verdict;
    this.options.sink.onHead({ status: statusCode, statusText: statusMessage ?? '', headers });
    this.heedObjection();
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    // The parser repeats its last callback without bytes when it is resumed; pausing it again then
    // would leave it paused at the end of the stream, which it does not bear.
    if (chunk.length === 0) return;
    this.options.onDataReceived();
    if (this.stopReason) return;
    if (!this.options.sink.onData(chunk)) controller.pause();
    this.heedObjection();
  }

  onResponseEnd(): void {
    if (this.isLastOnConnection) this.options.connection.discard();
    else this.options.connection.release();
    if (this.stopReason !== undefined) this.finish(this.resultOfStop(''));
    else this.finish({ kind: 'complete', framing: this.framing });
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.options.connection.discard();
    if (this.stopReason !== undefined) this.finish(this.resultOfStop(error.message));
    else if (!this.wasSent) this.finish({ kind: 'not-sent', cause: error.message });
    else this.finish({ kind: 'broken', cause: error.message, hadHead: this.hadHead });
  }

  private heedObjection(): void {
    const { rejectionReason } = this.options.sink;
    if (rejectionReason !== undefined) this.giveUp(rejectionReason);
  }

  private giveUp(cause: string): void {
    this.brokenCause = cause;
    this.abort('broken');
  }

  private abort(reason: 'stopped' | 'broken'): void {
    this.stopReason ??= reason;
    if (this.controller) this.controller.abort(new Error(reason));
    else this.options.connection.discard();
  }

  private resultOfStop(cause: string): SendResult {
    if (this.stopReason === 'not-executed') {
      const isOtherIncarnation = this.verdict?.isOtherIncarnation ?? false;
      return { kind: 'not-executed', isOtherIncarnation };
    }
    if (this.stopReason === 'broken') {
      return { kind: 'broken', cause: this.brokenCause || cause, hadHead: this.hadHead };
    }
    return { kind: 'stopped', wasSent: this.wasSent };
  }
}

function announcesClose(rawHeaders: readonly string[]): boolean {
  return headerValues(rawHeaders, 'connection').some((value) => value.toLowerCase() === 'close');
}

function textOf(rawHeaders: unknown): string[] {
  if (!Array.isArray(rawHeaders)) return [];
  return rawHeaders.map((part) => (Buffer.isBuffer(part) ? part.toString('latin1') : String(part)));
}
