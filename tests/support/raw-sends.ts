/** Sends single calls to a `RawBackend` through the real connection pool and forwarding code. */
import type { BackendConnectionPool } from '../../src/forwarding/backend-connections.js';
import type { BackendProtocol } from '../../src/forwarding/index.js';
import { SendAttempt, type SendResult } from '../../src/forwarding/send-attempt.js';
import { headerValues } from '../../src/http/index.js';

const HTTP_MISDIRECTED = 421;

/** Response header lines that identify the call and the backend. */
export function identityHeaderLines(callId: string): string[] {
  return [`X-Call: ${callId}`, 'X-Stamp: s'];
}

/** Head of a stream of events, in chunks, that answers a call. */
export function streamHeadOf(callId: string): string {
  const lines = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'];
  return ['HTTP/1.1 200 OK', ...identityHeaderLines(callId), ...lines, '', ''].join('\r\n');
}

export const rawProtocol: BackendProtocol = {
  encodeRequest: ({ id }) => ({ method: 'GET', target: `/${id}`, headers: [] }),
  readHead: (status, rawHeaders) => ({
    callId: headerValues(rawHeaders, 'x-call')[0],
    isNotExecuted: status === HTTP_MISDIRECTED || headerValues(rawHeaders, 'x-refused').length > 0,
    isOtherIncarnation: false,
    isAuthentic: headerValues(rawHeaders, 'x-stamp').length > 0,
    headers: [...rawHeaders],
  }),
};

export interface RawSend {
  id: string;
  /** @default GET */
  method?: string;
  /** Called for each chunk of the body; returns whether to continue reading. @default always */
  shouldContinue?: (attempt: SendAttempt) => boolean;
}

/** Result of the forwarding code and the received body. */
export interface RawOutcome {
  result: SendResult;
  body: string;
}

export async function sendRaw(
  connections: BackendConnectionPool,
  { id, method = 'GET', shouldContinue = () => true }: RawSend,
): Promise<RawOutcome> {
  let body = '';
  const attempt: SendAttempt = new SendAttempt({
    protocol: rawProtocol,
    connection: connections.acquire()!,
    request: { method, target: `/${id}`, headers: [] },
    body: Buffer.alloc(0),
    callId: id,
    sink: {
      onHead: () => undefined,
      onData(chunk: Buffer): boolean {
        body += chunk.toString('latin1');
        return shouldContinue(attempt);
      },
    },
    maxResponseBytes: Infinity,
    onDataReceived: () => undefined,
  });
  return { result: await attempt.run(), body };
}
