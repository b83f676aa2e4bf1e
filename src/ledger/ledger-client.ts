/** Reaches the ledger's leader from a gateway; settlements that nobody waits for go out in batches. */
import { describeError, monotonicMs, sleep } from '../common/index.js';
import type { GroupClient } from '../consensus/index.js';
import type { LeaderAnswer } from '../directory/index.js';
import type { Logger } from '../observability/index.js';
import type { Method } from '../wire/index.js';
import {
  LEDGER_GROUP,
  RESERVE,
  type ReserveAnswer,
  type ReserveRequest,
  SETTLE,
  type SettleRequest,
} from './messages.js';

const BATCH_DELAY_MS = 40;
const MAX_BATCH = 64;
const SETTLE_TIMEOUT_MS = 2_000;
const TRY_TIMEOUT_MS = 400;
/** Settlements that could not be delivered for so long are given up: the reservation stands. */
const GIVE_UP_AFTER_MS = 30_000;

interface QueuedSettlement {
  request: SettleRequest;
  queuedAt: number;
}

export class LedgerClient {
  private readonly queue: QueuedSettlement[] = [];
  private isSending = false;

  constructor(
    private readonly groups: GroupClient,
    private readonly logger: Logger,
  ) {}

  /** Settlements that wait to be delivered. */
  get queuedSettlements(): number {
    return this.queue.length;
  }

  /** @throws GroupUnavailableError when no leader answered in time; the reservation may stand */
  reserve(request: ReserveRequest, timeoutMs: number): Promise<ReserveAnswer> {
    return this.call(RESERVE, request, timeoutMs);
  }

  /** Resolves once the settlement is committed. @throws GroupUnavailableError when it may not be */
  async settle(request: SettleRequest, timeoutMs: number): Promise<void> {
    await this.call(SETTLE, { settlements: [request] }, timeoutMs);
  }

  /** Settles soon, and again until it is committed. */
  settleLater(request: SettleRequest): void {
    this.queue.push({ request, queuedAt: monotonicMs() });
    if (!this.isSending) void this.sendQueue();
  }

  private async sendQueue(): Promise<void> {
    this.isSending = true;
    while (this.queue.length > 0) {
      await sleep(BATCH_DELAY_MS);
      const batch = this.queue.splice(0, MAX_BATCH);
      const settlements = batch.map((queued) => queued.request);
      try {
        await this.call(SETTLE, { settlements }, SETTLE_TIMEOUT_MS);
      } catch (error) {
        const now = monotonicMs();
        const kept = batch.filter((queued) => now - queued.queuedAt < GIVE_UP_AFTER_MS);
        this.queue.unshift(...kept);
        this.logger.warn('settlements delayed', {
          waiting: this.queue.length,
          reason: describeError(error),
        });
      }
    }
    this.isSending = false;
  }

  private call<Request, Answer>(
    method: Method<Request, LeaderAnswer<Answer>>,
    request: Request,
    timeoutMs: number,
  ): Promise<Answer> {
    return this.groups.callWithRedirect<Request, LeaderAnswer<Answer>, Answer>(
      LEDGER_GROUP,
      method,
      request,
      (response) =>
        response.answer === undefined
          ? { leaderAddress: response.leaderAddress, refusal: response.refusal }
          : { response: response.answer },
      { timeoutMs, tryTimeoutMs: TRY_TIMEOUT_MS },
    );
  }
}
