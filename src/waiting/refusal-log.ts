/** Logs when calls of a service begin to be refused because of their expected wait, and when that has ended. */
import type { LogFields, Logger } from '../observability/index.js';

/** Time without refusals after which the overload has ended, in milliseconds. */
const EASED_AFTER_MS = 1_000;

export class RefusalLog {
  private refusedAt: number | undefined;
  private refusals = 0;

  constructor(
    private readonly service: string,
    private readonly logger: Logger,
  ) {}

  noteRefusal(now: number, fields: LogFields): void {
    const { service } = this;
    if (this.refusedAt === undefined) {
      this.logger.warn('waiting calls refused', { service, ...fields });
    }
    this.refusedAt = now;
    this.refusals += 1;
  }

  /** Must be called now and then, for example for each call. */
  check(now: number): void {
    if (this.refusedAt === undefined || now - this.refusedAt < EASED_AFTER_MS) return;
    const { service, refusals } = this;
    this.logger.info('waiting calls admitted again', { service, refusals });
    this.refusedAt = undefined;
    this.refusals = 0;
  }
}
