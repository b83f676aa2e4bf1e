/** Reads bounded JSON bodies, and gives up reading the body of a request that was refused meanwhile. */
import type { IncomingMessage } from 'node:http';
import { Deferred } from '../common/index.js';
import { type MemoryBudget, ReceivedBody } from '../memory-budget/index.js';
import { badRequestProblem, unknownOutcomeProblem, withoutMemoryProblem } from './problem.js';

const HTTP_BAD_REQUEST = 400;
const HTTP_PAYLOAD_TOO_LARGE = 413;

/** The request was answered before its body was read. */
export class BodyAbandonedError extends Error {}

/** Bodies that are being read. */
const readings = new WeakMap<IncomingMessage, Deferred<Buffer>>();

/** Whether a handler waits for the body of the request, so that it has done nothing yet that depends on it. */
export function isReadingBody(request: IncomingMessage): boolean {
  return readings.has(request);
}

/** Ends the reading of the body with a BodyAbandonedError, and discards the rest of it. */
export function abandonBody(request: IncomingMessage): void {
  readings.get(request)?.reject(new BodyAbandonedError('the request was answered'));
}

/**
 * Reads a JSON body.
 * @param memoryBudget counts the body until it is read. @default it is not counted
 * @throws HttpProblem when it is longer than `maxBytes`, truncated or not JSON, or when there is no memory for it
 */
export async function readJson(
  request: IncomingMessage,
  maxBytes: number,
  memoryBudget?: MemoryBudget,
): Promise<unknown> {
  const body = await readBody(request, maxBytes, memoryBudget);
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    throw badRequestProblem('the body is not JSON');
  }
}

/** Keeps the connection usable when the body is rejected, so that the response can be sent. */
async function readBody(
  request: IncomingMessage,
  maxBytes: number,
  budget: MemoryBudget | undefined,
): Promise<Buffer> {
  const result = new Deferred<Buffer>();
  const body = new ReceivedBody({
    budget,
    peer: () => request.socket.remoteAddress,
    onEnded: () => result.reject(withoutMemoryProblem()),
  });
  const onData = (chunk: Buffer): void => {
    if (body.length + chunk.length <= maxBytes) {
      body.add(chunk);
      return;
    }
    body.discard();
    const detail = `the body exceeds ${maxBytes} bytes`;
    result.reject(badRequestProblem(detail, 'body_too_large', HTTP_PAYLOAD_TOO_LARGE));
  };
  const onTruncated = (): void =>
    result.reject(
      unknownOutcomeProblem('the body was truncated', 'body_cut_off', HTTP_BAD_REQUEST),
    );
  request.on('data', onData);
  request.once('end', () => {
    const whole = body.take();
    if (whole) result.resolve(whole);
  });
  request.once('error', onTruncated);
  request.once('close', onTruncated);
  readings.set(request, result);
  try {
    return await result.promise;
  } finally {
    readings.delete(request);
    request.off('data', onData);
    body.discard();
    body.release();
  }
}
