/**
 * Wire format of rejections, which distinguishes a leader that rejects from a member that does not
 * lead.
 */
import { LedgegaugeError } from '../common/index.js';
import { CommitUnknownError, NotLeaderError } from './errors.js';
import type { ReplicatedGroup } from './replicated-group.js';

/** Reason why the leader rejected a request. Other members cannot execute it either. */
export interface LeaderRefusal {
  /** Class name of the error. */
  error: string;
  message: string;
}

/** Response of a member that did not execute the request. */
export interface Rejection {
  /** Address of the known leader. */
  leaderAddress?: string;
  /** Reason why this member cannot act as leader. */
  refusal?: string;
  /** Set if this member is the leader and rejects the request. */
  refused?: LeaderRefusal;
}

/**
 * Converts an error on the leader into a rejection for the client.
 * @throws the error itself if a retry cannot succeed
 */
export function createRejection(group: ReplicatedGroup, error: unknown): Rejection {
  if (error instanceof NotLeaderError) {
    return { leaderAddress: error.leaderAddress, refusal: error.message };
  }
  if (!(error instanceof LedgegaugeError && error.retriable)) throw error;
  const isRefusal = group.isCurrentLeader && !(error instanceof CommitUnknownError);
  if (isRefusal) return { refused: { error: error.name, message: error.message } };
  return { leaderAddress: group.leaderAddress, refusal: error.describe() };
}
