/**
 * Decision logs: one JSON object a line on standard output, each with a typed event name. Writing
 * never blocks and its volume is bounded; see line-writer.ts.
 */
import type { Logger, LogFields, LogLevel } from './logger.js';
import { LineWriter, type LineWriterOptions } from './line-writer.js';

export interface EventLogOptions extends LineWriterOptions {
  /** Fields that every line carries. */
  base: LogFields;
}

const PRIORITY_LEVELS: ReadonlySet<LogLevel> = new Set<LogLevel>(['warn', 'error']);

/** A logger over a bounded writer; its message is the event's name. */
export class EventLog implements Logger {
  readonly writer: LineWriter;

  constructor(private readonly options: EventLogOptions) {
    this.writer = new LineWriter(options);
  }

  debug(): void {
    // Not written by this log.
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
    this.writer.write(line, PRIORITY_LEVELS.has(level) ? 'high' : 'normal');
  }
}
