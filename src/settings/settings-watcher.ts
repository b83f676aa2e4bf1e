/** Takes over changed settings on request, or when their file has changed without one. */
import { describeError } from '../common/index.js';
import type { Logger, LogFields } from '../observability/index.js';
import type { SettingsFile } from './settings-file.js';

const POLL_MS = 1_000;

type ReloadCause = 'signal' | 'file changed';

export class SettingsWatcher<Settings> {
  private isReading = false;
  /** A request came while the file was read: what was read may be older than what it tells of. */
  private mustReadAgain = false;

  /** @param takeOver puts new settings in force; returns what the log says of them */
  constructor(
    private readonly file: SettingsFile<Settings>,
    private readonly takeOver: (settings: Settings) => LogFields,
    private readonly logger: Logger,
  ) {}

  /** Looks at the file until the process ends. */
  start(): void {
    setInterval(() => {
      if (!this.isReading && this.file.hasChanged) void this.reload('file changed');
    }, POLL_MS);
  }

  /** The file is to be read again, whether or not it seems changed. */
  request(): void {
    if (this.isReading) this.mustReadAgain = true;
    else void this.reload('signal');
  }

  /** What ran before stays in force until the new settings are whole. */
  private async reload(cause: ReloadCause): Promise<void> {
    this.isReading = true;
    do {
      this.mustReadAgain = false;
      try {
        const fields = this.takeOver(await this.file.read(this.logger));
        this.logger.info('process.reload', { cause, ...fields });
      } catch (error) {
        this.logger.error('process.reload-failed', { cause, description: describeError(error) });
      }
    } while (this.mustReadAgain);
    this.isReading = false;
  }
}
