/**
 * One attempt to send a call to one backend. A failure tells whether the backend may have executed the
 * call.
 */
import type { Dispatcher } from 'undici';
import { FramingTooLargeError, headerValues } from '../http/index.js';
import type { BackendConnection } from './backend-connections.js';
import type { ParsedResponseHead, BackendProtocol, RequestHead } from './backend-protocol.js';
import { type ResponseFraming, responseFraming } from './answer-end.js';
import type { ResponseHead } from './call-exchange.js';

/** How a response came to be missing or incomplete. */
export type BrokenReason =
  /** The connection ended: the backend ended, closed or reset it, or the network lost it. */
  | 'connection-lost'
  /** No response had begun in time; the sender gave up. */
  | 'no-answer-in-time'
  /** The response has a status that HTTP does not define. */
  | 'invalid-status'
  /** The sender rejected what the backend sent. */
  | 'unusable-answer';

export type SendResult =
  /** A complete response was received. */
  | { kind: 'complete'; framing: ResponseFraming }
  /** No byte of the call reached the backend. */
  | { kind: 'not-sent'; cause: string }
  /** The backend states that it did not execute the call. */
  | { kind: 'not-executed'; isOtherIncarnation: boolean }
  /** The response is missing or incomplete; the call may have been executed. */
  | { kind: 'broken'; cause: string; hadHead: boolean; reason: BrokenReason }
  /** The attempt was stopped by the sender. */
  | { kind: 'stopped'; wasSent: boolean };

/** Receives a response as it arrives. */
export interface ResponseSink {
  onHead(head: ResponseHead): void;
  /** @returns false on backpressure; `SendAttempt.resume` continues */
  onData(chunk: Buffer): boolean;
  /** Why the response cannot be used, if so; the attempt is then aborted. */
  readonly rejectionReason?: string;
  /** Whether the response is a stream of events, whose length is not limited. @default false */
  readonly isStream?: boolean;
  /** Whether this response has brought content. @default whether it has brought a byte of its body */
  readonly hasContent?: boolean | undefined;
}

export interface SendAttemptOptions {
  protocol: BackendProtocol;
  connection: BackendConnection;
  request: RequestHead;
  body: Buffer;
  callId: string | undefined;
  sink: ResponseSink;
  /** Maximum size of a response that is not a stream, in bytes. */
  maxResponseBytes: number;
  /** Called when bytes of the response arrive. */
  onDataReceived: () => void;
}

/** Bounds of valid status codes (RFC 9110, section 15). */
const FIRST_STATUS = 100;
const LAST_STATUS = 599;
const FIRST_FINAL_STATUS = 200;
const FIRST_REDIRECTION = 300;
const NO_CONTENT = 'the connection closed before any content';
/** Maximum number of responses with status 1xx before the final one. */
const MAX_INTERIM_RESPONSES = 16;

export class SendAttempt implements Dispatcher.DispatchHandler {
  /** Whether the call may have reached the backend. */
  wasSent = false;
  /** Arrival of the response head (monotonic, milliseconds). */
  headAt: number | undefined;
  /** Whether reading was paused because the caller reads slowly. */
  wasPaused = false;
  private hadHead = false;
  private receivedBytes = 0;
  private interimResponses = 0;
  private stopReason: 'stopped' | 'not-executed' | 'broken' | undefined;
  private verdict: ParsedResponseHead | undefined;
  private brokenCause = '';
  private brokenReason: BrokenReason = 'unusable-answer';
  private isLastOnConnection = false;
  private framing: ResponseFraming = 'close';
  private isSuccess = false;
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

  /** Closes the connection, so that the backend stops processing the call. */
  stop(): void {
    this.abort('stopped');
  }

  /** Aborts the attempt unless the response head has arrived; the call may have been executed. */
  abortUnlessStarted(): void {
    if (this.headAt !== undefined) return;
    this.fail('no response head in time', 'no-answer-in-time');
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
    this.options.connection.notePart();
    if (!isValidStatus(statusCode)) {
      this.fail(`no valid status: ${statusCode}`, 'invalid-status');
      return;
    }
    if (statusCode < FIRST_FINAL_STATUS) {
      this.noteInterimResponse();
      return;
    }
    this.headAt = performance.now();
    this.options.onDataReceived();
    const rawHeaders = textOf(controller.rawHeaders);
    const verdict = this.options.protocol.readHead(statusCode, rawHeaders);
    this.verdict = verdict;
    this.framing = responseFraming(this.options.request.method, statusCode, rawHeaders);
    this.isSuccess = statusCode < FIRST_REDIRECTION;
    this.isLastOnConnection = announcesClose(rawHeaders) || this.framing === 'close';
    const doubt = this.doubtAbout(verdict);
    if (doubt !== undefined) {
      this.fail(doubt);
      return;
    }
    if (verdict.isNotExecuted) {
      this.stopReason = 'not-executed';
      return;
    }
    if (!verdict.isAuthentic) {
      this.fail("the response is not the backend's own");
      return;
    }
    this.hadHead = true;
    const { headers } = verdict;
    this.options.sink.onHead({ status: statusCode, statusText: statusMessage ?? '', headers });
    this.checkRejection();
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    // When resumed, undici's parser repeats its last callback without data; pausing it again would
    // leave it paused at the end of the stream, which it does not support.
    if (chunk.length === 0) return;
    this.options.connection.notePart();
    this.options.onDataReceived();
    if (this.stopReason) return;
    this.receivedBytes += chunk.length;
    if (this.isTooLarge) {
      this.fail('response too large');
      return;
    }
    if (!this.options.sink.onData(chunk)) {
      this.wasPaused = true;
      controller.pause();
    }
    this.checkRejection();
  }

  onResponseEnd(): void {
    if (this.isLastOnConnection) this.options.connection.discard();
    else this.options.connection.release();
    if (this.stopReason !== undefined) this.finish(this.stopResult(''));
    else if (this.mayLackBody) this.finish(this.brokenResult(NO_CONTENT, 'connection-lost'));
    else this.finish({ kind: 'complete', framing: this.framing });
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.options.connection.discard();
    if (this.stopReason !== undefined) this.finish(this.stopResult(error.message));
    else if (!this.wasSent) this.finish({ kind: 'not-sent', cause: error.message });
    else this.finish(this.brokenResult(error.message, reasonOf(error)));
  }

  /** Why the response may be that to another call, if so. */
  private doubtAbout({ callId }: ParsedResponseHead): string | undefined {
    if (callId === this.options.callId) return undefined;
    if (callId !== undefined) return 'the response belongs to another call';
    return this.options.connection.wasUsedBefore ? 'the response names no call' : undefined;
  }

  /** A success without content whose connection has closed may have been cut after its head, or within it. */
  private get mayLackBody(): boolean {
    if (this.framing !== 'close' || !this.isSuccess) return false;
    return !(this.options.sink.hasContent ?? this.receivedBytes > 0);
  }

  private get isTooLarge(): boolean {
    const { sink, maxResponseBytes } = this.options;
    return !sink.isStream && this.receivedBytes > maxResponseBytes;
  }

  private noteInterimResponse(): void {
    this.interimResponses += 1;
    if (this.interimResponses > MAX_INTERIM_RESPONSES) this.fail('too many interim responses');
  }

  private checkRejection(): void {
    const { rejectionReason } = this.options.sink;
    if (rejectionReason !== undefined) this.fail(rejectionReason);
  }

  private fail(cause: string, reason: BrokenReason = 'unusable-answer'): void {
    this.brokenCause = cause;
    this.brokenReason = reason;
    this.abort('broken');
  }

  private abort(reason: 'stopped' | 'broken'): void {
    this.stopReason ??= reason;
    if (this.controller) this.controller.abort(new Error(reason));
    else this.options.connection.discard();
  }

  private stopResult(cause: string): SendResult {
    if (this.stopReason === 'not-executed') {
      const isOtherIncarnation = this.verdict?.isOtherIncarnation ?? false;
      return { kind: 'not-executed', isOtherIncarnation };
    }
    if (this.stopReason === 'broken') {
      return this.brokenResult(this.brokenCause || cause, this.brokenReason);
    }
    return { kind: 'stopped', wasSent: this.wasSent };
  }

  private brokenResult(cause: string, reason: BrokenReason): SendResult {
    return { kind: 'broken', cause, hadHead: this.hadHead, reason };
  }
}

function reasonOf(error: Error): BrokenReason {
  return error instanceof FramingTooLargeError ? 'unusable-answer' : 'connection-lost';
}

function isValidStatus(statusCode: number): boolean {
  return statusCode >= FIRST_STATUS && statusCode <= LAST_STATUS;
}

function announcesClose(rawHeaders: readonly string[]): boolean {
  return headerValues(rawHeaders, 'connection').some((value) => value.toLowerCase() === 'close');
}

function textOf(rawHeaders: unknown): string[] {
  if (!Array.isArray(rawHeaders)) return [];
  return rawHeaders.map((part) => (Buffer.isBuffer(part) ? part.toString('latin1') : String(part)));
}
