/** Runs a daemon: starts it, prints a line when it is ready, and stops it cleanly on a signal. */
import { LedgegaugeError, describeError } from '../common/index.js';
import { DamagedLogError, StorageFailedError, StorageFullError } from '../log-store/index.js';
import { type LogLevel, type Logger, createLogger, setLogLevel } from '../observability/index.js';
import { SettingsError } from '../settings/index.js';
import { EXIT_FAILURE, EXIT_INTERRUPTED, EXIT_OK, EXIT_STORAGE, EXIT_USAGE } from './exit-codes.js';

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

/** Runs the action of a command; prints errors on standard error and sets the exit code. */
export async function runAction(action: () => Promise<void> | void): Promise<void> {
  try {
    await action();
  } catch (error) {
    const message = error instanceof SettingsError ? error.message : describeError(error);
    process.stderr.write(`${message}\n`);
    process.exitCode = exitCodeOf(error);
  }
}

export function exitCodeOf(error: unknown): number {
  if (error instanceof SettingsError) return EXIT_USAGE;
  const isStorage =
    error instanceof DamagedLogError ||
    error instanceof StorageFailedError ||
    error instanceof StorageFullError;
  if (isStorage) return EXIT_STORAGE;
  if (error instanceof LedgegaugeError && error.step === 'cli.usage') return EXIT_USAGE;
  return EXIT_FAILURE;
}
