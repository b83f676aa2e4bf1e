/** How a leader's refusal crosses the wire, as against a member that does not lead. */
import { LedgegaugeError } from '../common/index.js';
import { CommitUnknownError, NotLeaderError } from './errors.js';
import type { ReplicatedGroup } from './replicated-group.js';

/** Why a leader did not do what it was asked; no other member can do it. */
export interface LeaderRefusal {
  /** Name of the error's class. */
  error: string;
  message: string;
}

/** In place of an answer. */
export interface Rejection {
  /** Where the leader may be. */
  leaderAddress?: string;
  /** Why this member can't answer as the leader. */
  refusal?: string;
  /** Present when this member leads and refuses. */
  refused?: LeaderRefusal;
}

/**
 * What a client is told of an error that arose in a leader's work.
 * @throws the error itself when trying again can't help
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
