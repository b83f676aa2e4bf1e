/** Divides received bytes into parts that cost the HTTP parser a bounded time and complete at most one request head. */

/** Lines in a part. Each header, and each chunk of a body, takes one or more. */
const MAX_LINES = 64;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** @returns the length of the first part of the bytes, which ends behind the first empty line at the latest */
export function lengthOfFirstPart(bytes: Buffer): number {
  let lineStart = 0;
  for (let lines = 0; lines < MAX_LINES; lines += 1) {
    const lineEnd = bytes.indexOf(LINE_FEED, lineStart);
    if (lineEnd < 0) return bytes.length;
    const isEmpty =
      lineEnd === lineStart || (lineEnd === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
    lineStart = lineEnd + 1;
    if (isEmpty) break;
  }
  return lineStart;
}
