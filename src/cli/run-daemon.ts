/** Runs a daemon: starts it, prints a line when it is ready, and stops it cleanly on a signal. */
import { describeError } from '../common/index.js';
import { type LogLevel, type Logger, createLogger, setLogLevel } from '../observability/index.js';
import { EXIT_INTERRUPTED, EXIT_OK } from './exit-codes.js';
import { exitCodeOf } from './run-action.js';

export interface Daemon {
  /** Finishes the work in progress and closes everything. */
  stop(): Promise<void>;
}

export interface DaemonOptions {
  /** Kind and name of the process, for logs. */
  kind: string;
  name: string;
  logLevel: LogLevel;
  start: (logger: Logger, onFatal: (error: unknown) => void) => Promise<Daemon>;
}

/** Starts the daemon; resolves once it is ready. */
export async function runDaemon(options: DaemonOptions): Promise<void> {
  setLogLevel(options.logLevel);
  const logger = createLogger({ process: options.kind, name: options.name });
  const onFatal = (error: unknown): void => {
    logger.error('fatal', { description: describeError(error) });
    process.exit(exitCodeOf(error));
  };
  process.on('uncaughtException', onFatal);
  process.on('unhandledRejection', onFatal);
  const daemon = await options.start(logger, onFatal);
  let isStopping = false;
  const onSignal = (): void => {
    if (isStopping) process.exit(EXIT_INTERRUPTED);
    isStopping = true;
    logger.info('stopping', {});
    daemon.stop().then(() => process.exit(EXIT_OK), onFatal);
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  logger.info('started', {});
  process.stdout.write(`${JSON.stringify({ ready: true, process: options.kind })}\n`);
}
