/** Reads a settings file at the start and after changes, and tolerates reads while the file is being written. */
import { readFileSync, statSync } from 'node:fs';
import { sleep } from '../common/index.js';
import type { Logger } from '../observability/index.js';
import { SettingsError } from './errors.js';

/** How long reading an incomplete file is retried. */
const READ_RETRY_TIMEOUT_MS = 1_000;
/** Delay between two attempts to read an incomplete file. */
const READ_RETRY_DELAY_MS = 20;

export class SettingsFile<Settings> {
  private modifiedBeforeReadingMs = 0;

  /** @param parse throws when the text is incomplete or invalid */
  constructor(
    private readonly path: string,
    private readonly parse: (text: string) => Settings,
  ) {}

  /** Whether the file has changed since it was last read. */
  get hasChanged(): boolean {
    return this.modificationTime() !== this.modifiedBeforeReadingMs;
  }

  /**
   * Reads the settings. A file that is missing or can't be parsed may be in the middle of being written, so it is
   * read again for a second before the error is reported.
   * @throws SettingsError naming the file and the position of the error
   */
  async read(logger: Logger): Promise<Settings> {
    const deadline = performance.now() + READ_RETRY_TIMEOUT_MS;
    for (let attempt = 1; ; attempt += 1) {
      try {
        return this.readNow();
      } catch (cause) {
        const reason = reasonOf(cause);
        if (performance.now() >= deadline) {
          throw new SettingsError(reason, { step: 'settings.read', peer: this.path, cause });
        }
        if (attempt === 1) logger.warn('settings.not-whole', { file: this.path, reason });
      }
      await sleep(READ_RETRY_DELAY_MS);
    }
  }

  private readNow(): Settings {
    this.modifiedBeforeReadingMs = this.modificationTime();
    return this.parse(readFileSync(this.path, 'utf8'));
  }

  /** @returns milliseconds since the epoch, or 0 if unknown; reading the file then reports the error */
  private modificationTime(): number {
    try {
      return statSync(this.path).mtimeMs;
    } catch {
      return 0;
    }
  }
}

/** Returns the parser's message with the position of the error. */
function reasonOf(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const place = error.cause instanceof Error ? `: ${error.cause.message}` : '';
  return `${error.message}${place}`;
}
