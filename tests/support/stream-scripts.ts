/** Bytes of streams of server-sent events, in chunks, for scripted backends. */

/** The last chunk of a response. */
export const LAST_CHUNK = '0\r\n\r\n';

/** Head of a stream that answers an attempt. */
export function streamHead(attempt: string): string {
  return [
    'HTTP/1.1 200 OK',
    `X-Attempt-Id: ${attempt}`,
    'X-Server-Stamp: s',
    'Content-Type: text/event-stream',
    'Transfer-Encoding: chunked',
    '',
    '',
  ].join('\r\n');
}

export function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Value of a header in the head of a request, if it has the header. */
export function headerOf(request: string, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)$`, 'im').exec(request)?.[1]?.trim();
}
