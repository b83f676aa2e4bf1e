/** Framing of HTTP response bodies (RFC 9112, section 6.3). */
import { firstHeader, headerValues } from '../http/index.js';

/** What delimits the response body. If the connection ends in any other way, the response is incomplete. */
export type ResponseFraming =
  /** The end of the head; the response has no body. */
  | 'head'
  /** The Content-Length. */
  | 'length'
  /** The last chunk, of size 0. */
  | 'last-chunk'
  /** The orderly close of the connection; not a reset. */
  | 'close';

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** @param rawHeaders alternating names and values */
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

/** Whether `chunked` is the last transfer coding. */
function isChunked(codings: readonly string[]): boolean {
  const last = codings.join(',').split(',').at(-1)!;
  return last.trim().toLowerCase() === 'chunked';
}
