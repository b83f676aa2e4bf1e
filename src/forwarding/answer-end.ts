/** How an answer says where it ends (RFC 9112, section 6.3). */
import { firstHeader, headerValues } from '../http/index.js';

/** What marks the end of an answer. Anything else that ends a connection cuts the answer off. */
export type ResponseFraming =
  /** The end of its head: the answer has no body. */
  | 'head'
  /** The byte that its length names. */
  | 'length'
  /** The chunk of size 0. */
  | 'last-chunk'
  /** The orderly close of its connection; a reset is none. */
  | 'close';

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** @param rawHeaders names and values in turn */
export function responseFraming(
  method: string,
  status: number,
  rawHeaders: readonly string[],
): ResponseFraming {
  if (method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status)) return 'head';
  const codings = headerValues(rawHeaders, 'transfer-encoding');
  if (codings.length > 0) return isChunked(codings) ? 'last-chunk' : 'close';
  return firstHeader(rawHeaders, 'content-length') === undefined ? 'close' : 'length';
}

/** Whether chunks are the last of the transfer codings. */
function isChunked(codings: readonly string[]): boolean {
  const last = codings.join(',').split(',').at(-1)!;
  return last.trim().toLowerCase() === 'chunked';
}
