/** Formatting and parsing of server-sent events. */

export interface ServerSentEvent {
  id?: string;
  event?: string;
  data: string;
}

/** Formats one event; `data` must not contain line breaks. */
export function formatEvent(event: ServerSentEvent): string {
  const id = event.id === undefined ? '' : `id: ${event.id}\n`;
  const name = event.event === undefined ? '' : `event: ${event.event}\n`;
  return `${id}${name}data: ${event.data}\n\n`;
}

/** Maximum size of an incomplete event. */
const MAX_PENDING_CHARACTERS = 1024 * 1024;

/** Parses events from a stream of text chunks. */
export class EventParser {
  private pending = '';

  /** @throws Error when an event exceeds the maximum size */
  push(text: string): ServerSentEvent[] {
    this.pending += text;
    const events: ServerSentEvent[] = [];
    for (;;) {
      const end = this.pending.indexOf('\n\n');
      if (end < 0) break;
      const event = parseEvent(this.pending.slice(0, end));
      if (event) events.push(event);
      this.pending = this.pending.slice(end + 2);
    }
    if (this.pending.length > MAX_PENDING_CHARACTERS) throw new Error('event is too long');
    return events;
  }
}

function parseEvent(block: string): ServerSentEvent | undefined {
  let id: string | undefined;
  let event: string | undefined;
  const data: string[] = [];
  for (const line of block.split('\n')) {
    const colon = line.indexOf(':');
    if (colon <= 0) continue;
    const field = line.slice(0, colon);
    const value = line.slice(line[colon + 1] === ' ' ? colon + 2 : colon + 1);
    if (field === 'id') id = value;
    else if (field === 'event') event = value;
    else if (field === 'data') data.push(value);
  }
  return data.length === 0 ? undefined : { id, event, data: data.join('\n') };
}
