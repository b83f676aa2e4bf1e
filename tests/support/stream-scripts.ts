/** Bytes of streams of server-sent events, for scripted backends. */

/** How a response tells its end. */
export const FRAMINGS = ['length', 'chunks', 'until-close'] as const;
export type Framing = (typeof FRAMINGS)[number];

/** A whole response. */
export interface FramedStream {
  bytes: string;
  /** End positions of the head and of each event. */
  ends: number[];
}

/** @param head returns the head with the given lines */
export function frameStream(
  head: (lines: string[]) => string,
  framing: Framing,
  events: readonly string[],
): FramedStream {
  const type = 'Content-Type: text/event-stream';
  const length = events.join('').length;
  const lines: Record<Framing, string[]> = {
    length: [type, `Content-Length: ${length}`],
    chunks: [type, 'Transfer-Encoding: chunked'],
    'until-close': [type],
  };
  let bytes = head(lines[framing]);
  const ends = [bytes.length];
  for (const event of events) {
    bytes += framing === 'chunks' ? `${event.length.toString(16)}\r\n${event}` : event;
    ends.push(bytes.length);
    if (framing === 'chunks') bytes += '\r\n';
  }
  return { bytes: framing === 'chunks' ? `${bytes}${LAST_CHUNK}` : bytes, ends };
}

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
