/** Tells a leader that it has been without a quorum for too long and has to step down. */
import { monotonicMs } from '../common/index.js';
import type { CheckedConsensusOptions } from './options.js';

/** A check that is late by this share of an election time-out says that the process stood still. */
const STALL_SHARE = 0.5;

type QuorumTiming = Pick<CheckedConsensusOptions, 'heartbeatIntervalMs' | 'electionTimeoutMs'>;

export class QuorumCheck {
  private checkedAt = monotonicMs();

  constructor(private readonly timing: QuorumTiming) {}

  /**
   * Call it at every heartbeat interval. After a standstill of this process answers wait to be read,
   * so the quorum only counts as lost at the next check.
   * @param contactMs send time of the latest message that a majority has answered (monotonic)
   */
  isQuorumLost(contactMs: number): boolean {
    const now = monotonicMs();
    const { heartbeatIntervalMs, electionTimeoutMs } = this.timing;
    const lateMs = now - this.checkedAt - heartbeatIntervalMs;
    this.checkedAt = now;
    if (lateMs > electionTimeoutMs * STALL_SHARE) return false;
    return now - contactMs > electionTimeoutMs;
  }
}
