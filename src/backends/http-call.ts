/** Sends one HTTP request to a backend and classifies failures. */
import type { Dispatcher } from 'undici';
import { request } from 'undici';
import { readBoundedText } from '../http/index.js';
import {
  AttemptFencedError,
  BackendLostError,
  BackendRefusedError,
  BackendUnreachableError,
  StreamUnknownError,
} from './errors.js';

export interface BackendRequest {
  step: string;
  address: string;
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: unknown;
  /** Maximum time until the response headers, in milliseconds. */
  headersTimeoutMs: number;
  /** Maximum time between two chunks of the response body, in milliseconds. */
  idleTimeoutMs: number;
}

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const MAX_ERROR_BODY_BYTES = 4_096;

/** Error codes of failures before any byte of the request was sent. */
const CONNECT_FAILURES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Sends a request; resolves when the headers of a successful response arrive.
 * @throws BackendError of the class that matches the failure
 */
export async function callBackend(
  dispatcher: Dispatcher,
  options: BackendRequest,
): Promise<Dispatcher.ResponseData> {
  let response: Dispatcher.ResponseData;
  try {
    response = await request(`http://${options.address}${options.path}`, {
      dispatcher,
      method: options.method,
      headers: { 'content-type': 'application/json', ...options.headers },
      body: options.body === undefined ? null : JSON.stringify(options.body),
      headersTimeout: options.headersTimeoutMs,
      bodyTimeout: options.idleTimeoutMs,
    });
  } catch (cause) {
    throw connectionError(options, cause);
  }
  if (response.statusCode === HTTP_OK) return response;
  throw await refusalError(options, response);
}

function connectionError(options: BackendRequest, cause: unknown): Error {
  const context = { step: options.step, peer: options.address, retriable: true, cause };
  const code = (cause as NodeJS.ErrnoException).code ?? '';
  if (CONNECT_FAILURES.has(code)) return new BackendUnreachableError('cannot connect', context);
  return new BackendLostError('connection lost before the response', context);
}

async function refusalError(
  options: BackendRequest,
  response: Dispatcher.ResponseData,
): Promise<Error> {
  const bounds = { maxBytes: MAX_ERROR_BODY_BYTES, timeoutMs: options.idleTimeoutMs };
  const text = await readBoundedText(response.body, bounds).catch(() => '');
  const code = readCode(text);
  const context = { step: options.step, peer: options.address, retriable: true };
  if (code === 'no_stream' && response.statusCode === HTTP_NOT_FOUND) {
    return new StreamUnknownError('no such stream', context);
  }
  if (code === 'fenced' && response.statusCode === HTTP_CONFLICT) {
    return new AttemptFencedError('a newer attempt is known', context);
  }
  if (code === undefined) {
    return new BackendLostError(`unexpected status ${response.statusCode}`, context);
  }
  return new BackendRefusedError(`refused: ${code}`, code, context);
}

/** The `code` of a problem document that states that the request was not executed. */
function readCode(text: string): string | undefined {
  try {
    const problem = JSON.parse(text) as { code?: unknown; outcome?: unknown };
    return problem.outcome === 'not_run' && typeof problem.code === 'string'
      ? problem.code
      : undefined;
  } catch {
    return undefined;
  }
}
