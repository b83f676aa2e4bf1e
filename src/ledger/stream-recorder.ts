/** Has the ledger record the versions of streams that their reservations did not record. */
import { Backoff, describeError, monotonicMs, sleep } from '../common/index.js';
import type { Logger } from '../observability/index.js';
import type { StreamRecord } from './stream-versions.js';

/** Sends records in one request; rejects unless the ledger has committed all of them. */
export type SendStreamRecords = (streams: StreamRecord[], timeoutMs: number) => Promise<void>;

const MAX_BATCH_SIZE = 64;
/** Maximum number of undelivered records; the oldest are dropped, and their streams cannot be resumed. */
const MAX_UNDELIVERED = 2_000;
const SEND_TIMEOUT_MS = 1_000;
/** Initial and maximum retry delays, in milliseconds. */
const RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1_000;

interface UndeliveredRecord {
  record: StreamRecord;
  queuedAt: number;
}

export class StreamRecorder {
  private undelivered: UndeliveredRecord[] = [];
  private isSending = false;

  constructor(
    private readonly send: SendStreamRecords,
    private readonly logger: Logger,
  ) {}

  /** Queues a record, which is retried for as long as its stream may be resumed. */
  recordLater(record: StreamRecord): void {
    this.undelivered.push({ record, queuedAt: monotonicMs() });
    if (this.undelivered.length > MAX_UNDELIVERED) this.undelivered.shift();
    if (!this.isSending) void this.sendAll();
  }

  private async sendAll(): Promise<void> {
    this.isSending = true;
    const backoff = new Backoff({ initialMs: RETRY_DELAY_MS, maximumMs: MAX_RETRY_DELAY_MS });
    while (this.undelivered.length > 0) {
      if (await this.sendBatch(this.undelivered.splice(0, MAX_BATCH_SIZE))) backoff.reset();
      else await sleep(backoff.nextDelayMs());
    }
    this.isSending = false;
  }

  /** @returns whether the records were committed; otherwise they are queued again */
  private async sendBatch(batch: UndeliveredRecord[]): Promise<boolean> {
    try {
      await this.send(
        batch.map(({ record }) => record),
        SEND_TIMEOUT_MS,
      );
      return true;
    } catch (error) {
      const now = monotonicMs();
      const useful = batch.filter(({ record, queuedAt }) => now - queuedAt < record.keepMs);
      this.undelivered.unshift(...useful);
      const reason = describeError(error);
      this.logger.warn('stream versions delayed', { waiting: this.undelivered.length, reason });
      return false;
    }
  }
}
