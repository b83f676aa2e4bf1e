/** Splits a stream of server-sent events into complete events without decoding their text. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const SPACE = 0x20;
const ID_FIELD = Buffer.from('id');
const DATA_FIELD = Buffer.from('data');

/** A complete event. */
export interface StreamEvent {
  /** The raw event, including the terminating blank line. */
  bytes: Buffer;
  id?: string;
  hasData: boolean;
}

export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Whether an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /** Size of the incomplete event. */
  get pendingBytes(): number {
    return this.pending.length;
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
  for (let start = 0; start < bytes.length; start = startOfNextLine(bytes, start)) {
    const end = endOfLine(bytes, start);
    if (hasField(bytes, start, end, ID_FIELD)) {
      id = bytes.toString('latin1', startOfValue(bytes, start, end, ID_FIELD), end);
    } else if (hasField(bytes, start, end, DATA_FIELD)) hasData = true;
  }
  return { bytes, id, hasData };
}

/** The data of an event, one line feed after each of its data lines. */
export function dataOfEvent({ bytes }: StreamEvent): Buffer {
  const parts: Buffer[] = [];
  for (let start = 0; start < bytes.length; start = startOfNextLine(bytes, start)) {
    const end = endOfLine(bytes, start);
    if (!hasField(bytes, start, end, DATA_FIELD)) continue;
    const valueStart = startOfValue(bytes, start, end, DATA_FIELD);
    parts.push(bytes.subarray(valueStart, end), LINE_FEED_BYTES);
  }
  return Buffer.concat(parts);
}

const LINE_FEED_BYTES = Buffer.from('\n');

function startOfNextLine(bytes: Buffer, start: number): number {
  const lineFeed = bytes.indexOf(LINE_FEED, start);
  return lineFeed < 0 ? bytes.length : lineFeed + 1;
}

/** End position of the line at `start`, without the line terminator. */
function endOfLine(bytes: Buffer, start: number): number {
  const lineFeed = bytes.indexOf(LINE_FEED, start);
  const end = lineFeed < 0 ? bytes.length : lineFeed;
  return end > start && bytes[end - 1] === CARRIAGE_RETURN ? end - 1 : end;
}

/** Whether the line starts with the field's name and a colon; compares in place for speed. */
function hasField(bytes: Buffer, start: number, end: number, field: Buffer): boolean {
  const colon = start + field.length;
  if (colon >= end || bytes[colon] !== COLON) return false;
  return field.every((byte, index) => bytes[start + index] === byte);
}

/** A single space after the colon is not part of the value. */
function startOfValue(bytes: Buffer, start: number, end: number, field: Buffer): number {
  const afterColon = start + field.length + 1;
  return afterColon < end && bytes[afterColon] === SPACE ? afterColon + 1 : afterColon;
}
