/** Reloads a settings file on request, or when it has changed. */
import { describeError } from '../common/index.js';
import type { Logger, LogFields } from '../observability/index.js';
import type { SettingsFile } from './settings-file.js';

const POLL_INTERVAL_MS = 1_000;

type ReloadCause = 'signal' | 'file changed';

export class SettingsWatcher<Settings> {
  private isReading = false;
  /** A request arrived while the file was being read, so the settings read may be outdated. */
  private mustReadAgain = false;

  /** @param takeOver applies new settings; returns fields for the log */
  constructor(
    private readonly file: SettingsFile<Settings>,
    private readonly applySettings: (settings: Settings) => LogFields,
    private readonly logger: Logger,
  ) {}

  /** Polls the file until the process ends. */
  start(): void {
    setInterval(() => {
      if (!this.isReading && this.file.hasChanged) void this.reload('file changed');
    }, POLL_INTERVAL_MS);
  }

  /** Requests a reload, whether or not the file seems to have changed. */
  request(): void {
    if (this.isReading) this.mustReadAgain = true;
    else void this.reload('signal');
  }

  /** The previous settings stay in effect until the new ones are valid. */
  private async reload(cause: ReloadCause): Promise<void> {
    this.isReading = true;
    do {
      this.mustReadAgain = false;
      try {
        const fields = this.applySettings(await this.file.read(this.logger));
        this.logger.info('process.reload', { cause, ...fields });
      } catch (error) {
        this.logger.error('process.reload-failed', { cause, description: describeError(error) });
      }
    } while (this.mustReadAgain);
    this.isReading = false;
  }
}
