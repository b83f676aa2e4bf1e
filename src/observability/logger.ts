/**
 * Structured logs: one JSON object per line on standard error, through loglevel. Only changes of state
 * are logged; frequent events are counted in metrics.
 */
import log from 'loglevel';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Additional fields of a log line. */
export type LogFields = Record<string, string | number | boolean | undefined>;

export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

log.methodFactory = (methodName) => (line: string) => {
  if (methodName !== 'trace') process.stderr.write(`${line}\n`);
};

/** Sets the minimum level that is written. */
export function setLogLevel(level: LogLevel): void {
  log.setLevel(level, false);
}

setLogLevel('info');

/** Creates a logger that adds `base` to every line. */
export function createLogger(base: LogFields): Logger {
  const format = (level: LogLevel, message: string, fields?: LogFields): string =>
    JSON.stringify({ time: new Date().toISOString(), level, message, ...base, ...fields });
  return {
    debug: (message, fields) => log.debug(format('debug', message, fields)),
    info: (message, fields) => log.info(format('info', message, fields)),
    warn: (message, fields) => log.warn(format('warn', message, fields)),
    error: (message, fields) => log.error(format('error', message, fields)),
  };
}
