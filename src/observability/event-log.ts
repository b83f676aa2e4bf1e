/**
 * Decision log: one JSON object per line on standard output, each with an event name. Writing never
 * blocks, and its volume is bounded; see line-writer.ts.
 */
import type { Logger, LogFields, LogLevel } from './logger.js';
import { LineWriter, type LineWriterOptions } from './line-writer.js';

export interface EventLogOptions extends LineWriterOptions {
  /** Fields added to every line. */
  base: LogFields;
}

const HIGH_PRIORITY_LEVELS: ReadonlySet<LogLevel> = new Set<LogLevel>(['warn', 'error']);

/** Logger on top of a rate-limited writer; the message is the event name. */
export class EventLog implements Logger {
  readonly writer: LineWriter;

  constructor(private readonly options: EventLogOptions) {
    this.writer = new LineWriter(options);
  }

  debug(): void {
    // Debug lines are not written.
  }

  info(event: string, fields?: LogFields): void {
    this.line('info', event, fields);
  }

  warn(event: string, fields?: LogFields): void {
    this.line('warn', event, fields);
  }

  error(event: string, fields?: LogFields): void {
    this.line('error', event, fields);
  }

  private line(level: LogLevel, event: string, fields?: LogFields): void {
    const time = new Date().toISOString();
    const line = JSON.stringify({ time, level, event, ...this.options.base, ...fields });
    this.writer.write(line, HIGH_PRIORITY_LEVELS.has(level) ? 'high' : 'normal');
  }
}
