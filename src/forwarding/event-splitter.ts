/** Splits a stream of server-sent events into complete events without decoding their text. */
import { ByteAccumulator } from '../memory-budget/index.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const SPACE = 0x20;
const ID_FIELD = Buffer.from('id');
const DATA_FIELD = Buffer.from('data');
/** The line feed of the line before, a carriage return and a line feed. */
const MAX_BLANK_LINE_BYTES = 3;

/** A complete event. */
export interface StreamEvent {
  /** The raw event, including the terminating blank line. */
  bytes: Buffer;
  id?: string;
  hasData: boolean;
}

export class EventSplitter {
  private readonly partial = new ByteAccumulator();

  /** Whether an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return !this.partial.isEmpty;
  }

  /** Size of the incomplete event. */
  get pendingBytes(): number {
    return this.partial.length;
  }

  /** Memory that the incomplete event takes, in bytes. */
  get heldBytes(): number {
    return this.partial.heldBytes;
  }

  /** Discards the incomplete event. */
  clear(): void {
    this.partial.clear();
  }

  push(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    let end = this.endOfFirstEvent(chunk);
    while (end > 0) {
      events.push(readEvent(this.completeEvent(chunk.subarray(start, end))));
      start = end;
      end = endOfEvent(chunk, start);
    }
    this.partial.append(chunk.subarray(start));
    return events;
  }

  private completeEvent(rest: Buffer): Buffer {
    return this.partial.isEmpty ? rest : this.partial.take(rest);
  }

  /** Position in the chunk after the blank line that ends the first event, or -1. */
  private endOfFirstEvent(chunk: Buffer): number {
    const endAcrossChunks = this.partial.isEmpty ? -1 : this.endAcrossChunks(chunk);
    return endAcrossChunks > 0 ? endAcrossChunks : endOfEvent(chunk, 0);
  }

  /** Position in the chunk after a blank line that begins before the chunk, or -1. */
  private endAcrossChunks(chunk: Buffer): number {
    const before = this.partial.tail(MAX_BLANK_LINE_BYTES - 1);
    const bytes = Buffer.concat([before, chunk.subarray(0, MAX_BLANK_LINE_BYTES - 1)]);
    const end = endOfEvent(bytes, 0);
    return end < 0 ? -1 : end - before.length;
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

/** Appends the data of an event, one line feed after each of its data lines. */
export function appendData({ bytes }: StreamEvent, output: ByteAccumulator): void {
  for (let start = 0; start < bytes.length; start = startOfNextLine(bytes, start)) {
    const end = endOfLine(bytes, start);
    if (!hasField(bytes, start, end, DATA_FIELD)) continue;
    const valueStart = startOfValue(bytes, start, end, DATA_FIELD);
    const next = startOfNextLine(bytes, start);
    if (next === end + 1) {
      output.append(bytes.subarray(valueStart, next));
    } else {
      output.append(bytes.subarray(valueStart, end));
      output.append(LINE_FEED_BYTES);
    }
  }
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
