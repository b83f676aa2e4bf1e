/** A settings file that is read at the start and whenever it changes, also in the middle of being written. */
import { readFileSync, statSync } from 'node:fs';
import { sleep } from '../common/index.js';
import type { Logger } from '../observability/index.js';
import { SettingsError } from './errors.js';

/** How long a file may take to become whole, in milliseconds. */
const PATIENCE_MS = 1_000;
/** Pause between two readings of a file that isn't whole, in milliseconds. */
const RETRY_MS = 20;

export class SettingsFile<Settings> {
  private modifiedBeforeReadingMs = 0;

  /** @param parse throws when the text is not all of the settings */
  constructor(
    private readonly path: string,
    private readonly parse: (text: string) => Settings,
  ) {}

  /** Whether the file has been changed since it was last read. */
  get hasChanged(): boolean {
    return this.modificationTime() !== this.modifiedBeforeReadingMs;
  }

  /**
   * Reads the settings. A file that is missing or can't be parsed is read again for a second: it may be about to
   * be written, and would end a process that starts.
   * @throws SettingsError naming the file and the place in it when it stays as it is
   */
  async read(logger: Logger): Promise<Settings> {
    const deadline = performance.now() + PATIENCE_MS;
    for (let tries = 1; ; tries += 1) {
      try {
        return this.readNow();
      } catch (cause) {
        const reason = reasonOf(cause);
        if (performance.now() >= deadline) {
          throw new SettingsError(reason, { step: 'settings.read', peer: this.path, cause });
        }
        if (tries === 1) logger.warn('settings.not-whole', { file: this.path, reason });
      }
      await sleep(RETRY_MS);
    }
  }

  private readNow(): Settings {
    this.modifiedBeforeReadingMs = this.modificationTime();
    return this.parse(readFileSync(this.path, 'utf8'));
  }

  /** @returns milliseconds of the time of day; 0 where it can't be learnt, which reading the file tells */
  private modificationTime(): number {
    try {
      return statSync(this.path).mtimeMs;
    } catch {
      return 0;
    }
  }
}

/** What was wrong and where, as the parser says it. */
function reasonOf(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const place = error.cause instanceof Error ? `: ${error.cause.message}` : '';
  return `${error.message}${place}`;
}
