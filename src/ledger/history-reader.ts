/**
 * Reads at other members what a turn continues from. A history is many times the size of all else in an
 * answer; the leader's link, on which every commit waits, is spared it.
 */
import { LedgegaugeError, describeError, monotonicMs } from '../common/index.js';
import type { PeerDirectory } from '../consensus/index.js';
import type { Logger } from '../observability/index.js';
import { type HistorySource, READ_HISTORY } from './messages.js';

/**
 * How long a member may take to be reached and to answer, in milliseconds: as long as the leader may
 * over a reservation before others are asked.
 */
const READ_LIMITS = { connectMs: 250, timeoutMs: 250 };

/** A history, and the member that gave it. */
export interface HistoryReadResult {
  history: Uint8Array;
  address: string;
}

/** No member that was named gave the history; the reservation stands. */
export class HistoryNotReadError extends LedgegaugeError {}

export class HistoryReader {
  constructor(
    private readonly peers: Pick<PeerDirectory, 'callWhenConnected'>,
    private readonly logger: Logger,
  ) {}

  /**
   * @param limitMs after which no further member is asked, in milliseconds
   * @throws HistoryNotReadError when no member gave it
   */
  async read(
    turn: string,
    { addresses, atIndex }: HistorySource,
    limitMs: number,
  ): Promise<HistoryReadResult> {
    const deadlineMs = monotonicMs() + limitMs;
    for (const address of addresses) {
      if (monotonicMs() >= deadlineMs) break;
      const history = await this.readAt(address, turn, atIndex);
      if (history) return { history, address };
    }
    throw new HistoryNotReadError(`${addresses.length} members did not give it`, {
      step: READ_HISTORY.name,
      retriable: true,
    });
  }

  private async readAt(
    address: string,
    turn: string,
    atIndex: number,
  ): Promise<Uint8Array | undefined> {
    try {
      const request = { turn, atIndex };
      const answer = await this.peers.callWhenConnected(
        address,
        READ_HISTORY,
        request,
        READ_LIMITS,
      );
      return answer.history;
    } catch (error) {
      this.logger.info('history not read', { turn, peer: address, reason: describeError(error) });
      return undefined;
    }
  }
}
