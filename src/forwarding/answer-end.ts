/** How an answer says where it ends (RFC 9112, section 6.3). */
import { headerValues } from '../http/index.js';

/** What marks the end of an answer. Anything else that ends a connection cuts the answer off. */
export type AnswerEnd =
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
export function endOfAnswer(
  method: string,
  status: number,
  rawHeaders: readonly string[],
): AnswerEnd {
  if (method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status)) return 'head';
  if (headerValues(rawHeaders, 'transfer-encoding').length > 0) {
    return isChunked(rawHeaders) ? 'last-chunk' : 'close';
  }
  return headerValues(rawHeaders, 'content-length').length > 0 ? 'length' : 'close';
}

/** Whether chunks are the last of the transfer codings. */
function isChunked(rawHeaders: readonly string[]): boolean {
  const codings = headerValues(rawHeaders, 'transfer-encoding').join(',').split(',');
  return codings.at(-1)!.trim().toLowerCase() === 'chunked';
}
