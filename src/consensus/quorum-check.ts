/** Tells a leader that it has been without a quorum for too long and has to step down. */
import { monotonicMs } from '../common/index.js';
import type { CheckedConsensusOptions } from './options.js';

type QuorumTiming = Pick<CheckedConsensusOptions, 'heartbeatIntervalMs' | 'electionTimeoutMs'>;

export class QuorumCheck {
  private checkedAt = monotonicMs();

  constructor(private readonly timing: QuorumTiming) {}

  /**
   * Call it at every heartbeat interval. What this check itself is late by doesn't count: after a
   * standstill of this process answers wait to be read. A leader that is late at every check steps
   * down at the second one without an answer, instead of answering readers for as long as that lasts.
   * @param contactMs send time of the latest message that a majority has answered (monotonic)
   */
  isQuorumLost(contactMs: number): boolean {
    const now = monotonicMs();
    const { heartbeatIntervalMs, electionTimeoutMs } = this.timing;
    const lateMs = Math.max(0, now - this.checkedAt - heartbeatIntervalMs);
    this.checkedAt = now;
    return now - contactMs - lateMs > electionTimeoutMs;
  }
}
