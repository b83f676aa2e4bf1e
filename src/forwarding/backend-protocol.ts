/** Interface of the backend protocol, implemented by an adapter that defines the headers. */
import type { CallDescription } from './call-exchange.js';

/** Parameters of one attempt. */
export interface SendOptions {
  /** Name of the only backend that may execute the call. */
  backendName: string;
  /** Time that the backend has left, in milliseconds, if limited. */
  timeLeftMs?: number;
  /** 0 is the most urgent. */
  priority?: number;
  /** Resume a stream after this event. */
  lastEventId?: string;
  tenant?: string;
}

export interface RequestHead {
  method: string;
  target: string;
  /** Alternating names and values. */
  headers: string[];
}

/** The parsed head of a response. */
export interface ParsedResponseHead {
  /** Id of the call, as echoed by the backend. */
  callId?: string;
  /** The backend states that it did not execute the call. */
  isNotExecuted: boolean;
  /** Another incarnation is listening at the address. */
  isOtherIncarnation: boolean;
  /** Whether the response was produced by the backend itself and may be relayed. */
  isAuthentic: boolean;
  /** Alternating names and values, without hop-by-hop headers. */
  headers: string[];
}

export interface BackendProtocol {
  encodeRequest(call: CallDescription, send: SendOptions): RequestHead;
  readHead(status: number, rawHeaders: readonly string[]): ParsedResponseHead;
}
