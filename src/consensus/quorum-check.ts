/** Detects that a leader has lost contact with its quorum and must step down. */
import { monotonicMs } from '../common/index.js';
import { ElectionPacing } from './election-pacing.js';
import type { CheckedConsensusOptions } from './options.js';

type QuorumTiming = Pick<CheckedConsensusOptions, 'heartbeatIntervalMs' | 'electionTimeoutMs'>;

export class QuorumCheck {
  private checkedAt = monotonicMs();

  constructor(
    private readonly timing: QuorumTiming,
    private readonly pacing = new ElectionPacing(),
  ) {}

  /**
   * Called at every heartbeat interval. The delay of the check itself is not counted, since after a
   * stall of the process responses may still be unread. A leader that is late at every check steps
   * down at the second check without a response.
   * @param contactMs send time of the latest message acknowledged by a majority (monotonic)
   */
  isQuorumLost(contactMs: number): boolean {
    const now = monotonicMs();
    const { heartbeatIntervalMs, electionTimeoutMs } = this.timing;
    const lateMs = Math.max(0, now - this.checkedAt - heartbeatIntervalMs);
    this.checkedAt = now;
    return now - contactMs - lateMs > this.pacing.timeoutMs(electionTimeoutMs);
  }
}
