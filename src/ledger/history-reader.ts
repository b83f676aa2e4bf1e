/**
 * Reads the history of a turn from followers. Histories are much larger than the rest of a response;
 * sending them from the leader would slow down commits, which share its link.
 */
import { LedgegaugeError, describeError, monotonicMs } from '../common/index.js';
import type { PeerDirectory } from '../consensus/index.js';
import type { Logger } from '../observability/index.js';
import { LEDGER_GROUP } from './ledger-groups.js';
import { type HistorySource, READ_HISTORY } from './messages.js';

/**
 * Timeouts for connecting to a member and for its response, in milliseconds; equal to the timeout of
 * one reservation attempt.
 */
const READ_TIMEOUTS = { connectMs: 250, timeoutMs: 250 };

/** A history and the member that returned it. */
export interface HistoryReadResult {
  history: Uint8Array;
  address: string;
}

/** None of the listed members returned the history; the reservation remains valid. */
export class HistoryNotReadError extends LedgegaugeError {}

export class HistoryReader {
  /** @param group the ledger group whose members are read from */
  constructor(
    private readonly peers: Pick<PeerDirectory, 'callWhenConnected'>,
    private readonly logger: Logger,
    private readonly group = LEDGER_GROUP,
  ) {}

  /**
   * @param limitMs time after which no further member is tried, in milliseconds
   * @throws HistoryNotReadError when no member returned the history
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
    throw new HistoryNotReadError(`none of ${addresses.length} members returned the history`, {
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
      const request = { group: this.group, turn, atIndex };
      const answer = await this.peers.callWhenConnected(
        address,
        READ_HISTORY,
        request,
        READ_TIMEOUTS,
      );
      return answer.history;
    } catch (error) {
      this.logger.info('history not read', { turn, peer: address, reason: describeError(error) });
      return undefined;
    }
  }
}
