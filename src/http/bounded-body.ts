/** Reads bodies of other processes' answers, which may neither be larger nor take longer than stated. */
import type { Readable } from 'node:stream';

export interface BodyBounds {
  maxBytes: number;
  /** Maximum time until the body is complete, in milliseconds. */
  timeoutMs: number;
}

/** A body was not read to its end; its connection is closed. */
export class BodyBoundError extends Error {}

/**
 * Reads a body as UTF-8.
 * @throws BodyBoundError if it is too large or takes too long
 */
export async function readBoundedText(body: Readable, bounds: BodyBounds): Promise<string> {
  const { maxBytes, timeoutMs } = bounds;
  const expire = (): void =>
    void body.destroy(new BodyBoundError(`the body was not complete after ${timeoutMs} ms`));
  const timer = setTimeout(expire, timeoutMs);
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    // Leaving the loop destroys the body.
    for await (const chunk of body as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > maxBytes) throw new BodyBoundError(`the body exceeds ${maxBytes} bytes`);
      chunks.push(chunk);
    }
  } finally {
    clearTimeout(timer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/**
 * Reads a JSON body.
 * @throws BodyBoundError if it is too large or takes too long
 * @throws SyntaxError if it is not JSON
 */
export async function readBoundedJson(body: Readable, bounds: BodyBounds): Promise<unknown> {
  return JSON.parse(await readBoundedText(body, bounds)) as unknown;
}
