/** Cuts a stream of server-sent events into whole events without decoding their text. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const SPACE = 0x20;
const ID_FIELD = Buffer.from('id');
const DATA_FIELD = Buffer.from('data');

/** One whole event. */
export interface StreamEvent {
  /** The event with the blank line that ends it. */
  bytes: Buffer;
  id?: string;
  hasData: boolean;
}

export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Whether the stream stands in the middle of an event. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  push(chunk: Buffer): StreamEvent[] {
    const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    let end = endOfEvent(bytes, start);
    while (end > 0) {
      events.push(readEvent(bytes.subarray(start, end)));
      start = end;
      end = endOfEvent(bytes, start);
    }
    this.pending = start === bytes.length ? Buffer.alloc(0) : Buffer.from(bytes.subarray(start));
    return events;
  }
}

/** Position after the blank line that ends the event at `start`, or -1. */
function endOfEvent(bytes: Buffer, start: number): number {
  let lineEnd = bytes.indexOf(LINE_FEED, start);
  while (lineEnd >= 0 && lineEnd + 1 < bytes.length) {
    if (bytes[lineEnd + 1] === LINE_FEED) return lineEnd + 2;
    const isReturnAndFeed =
      bytes[lineEnd + 1] === CARRIAGE_RETURN && bytes[lineEnd + 2] === LINE_FEED;
    if (isReturnAndFeed) return lineEnd + 3;
    lineEnd = bytes.indexOf(LINE_FEED, lineEnd + 1);
  }
  return -1;
}

function readEvent(bytes: Buffer): StreamEvent {
  let id: string | undefined;
  let hasData = false;
  for (const line of linesOf(bytes)) {
    if (hasField(line, ID_FIELD)) id = valueOf(line, ID_FIELD).toString('latin1');
    else if (hasField(line, DATA_FIELD)) hasData = true;
  }
  return { bytes, id, hasData };
}

/** The data of an event, one line feed after each of its data lines. */
export function dataOfEvent(event: StreamEvent): Buffer {
  const parts: Buffer[] = [];
  for (const line of linesOf(event.bytes)) {
    if (hasField(line, DATA_FIELD)) parts.push(valueOf(line, DATA_FIELD), LINE_FEED_BYTES);
  }
  return Buffer.concat(parts);
}

const LINE_FEED_BYTES = Buffer.from('\n');

function* linesOf(bytes: Buffer): Generator<Buffer> {
  let start = 0;
  while (start < bytes.length) {
    let end = bytes.indexOf(LINE_FEED, start);
    if (end < 0) end = bytes.length;
    const hasReturn = end > start && bytes[end - 1] === CARRIAGE_RETURN;
    yield bytes.subarray(start, hasReturn ? end - 1 : end);
    start = end + 1;
  }
}

function hasField(line: Buffer, field: Buffer): boolean {
  return line[field.length] === COLON && line.subarray(0, field.length).equals(field);
}

function valueOf(line: Buffer, field: Buffer): Buffer {
  const start = field.length + 1;
  return line.subarray(line[start] === SPACE ? start + 1 : start);
}
