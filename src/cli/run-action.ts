/** Runs the action of a command. Loads nothing but the classes of errors, so that each command loads only what it needs. */
import { LedgegaugeError, describeError } from '../common/errors.js';
import { DamagedLogError, StorageFailedError, StorageFullError } from '../log-store/errors.js';
import { SettingsError } from '../settings/errors.js';
import { EXIT_FAILURE, EXIT_STORAGE, EXIT_USAGE } from './exit-codes.js';

/** Invalid usage of the command line. */
export class UsageError extends LedgegaugeError {
  constructor(message: string) {
    super(message, { step: 'cli.usage' });
  }
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
