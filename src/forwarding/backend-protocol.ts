/** The protocol of back ends, as the product sees it; an adapter names the headers. */
import type { CallDescription } from './call-exchange.js';

/** What one send adds to the call. */
export interface SendOptions {
  /** Name of the back end that alone may run the call. */
  backendName: string;
  /** How long the back end may work, in milliseconds; absent when nobody named a limit. */
  timeLeftMs?: number;
  /** 0 is the most urgent. */
  priority?: number;
  /** Take a stream up after this event. */
  lastEventId?: string;
  /** Name of the tenant that the call belongs to. */
  tenant?: string;
}

export interface RequestHead {
  method: string;
  target: string;
  /** Names and values in turn. */
  headers: string[];
}

/** What the head of an answer says of itself. */
export interface ParsedResponseHead {
  /** The call that the answer belongs to, as the back end echoes it. */
  callId?: string;
  /** The back end states that it did not run the call. */
  isNotExecuted: boolean;
  /** Another incarnation has taken the address. */
  isOtherIncarnation: boolean;
  /** Whether the answer may be passed on as the back end's own. */
  isAuthentic: boolean;
  /** Names and values in turn, without those of one connection only. */
  headers: string[];
}

export interface BackendProtocol {
  encodeRequest(call: CallDescription, send: SendOptions): RequestHead;
  readHead(status: number, rawHeaders: readonly string[]): ParsedResponseHead;
}
