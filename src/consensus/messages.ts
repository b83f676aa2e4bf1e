/** Messages between the members of replicated groups. */
import type { LogEntry, SnapshotMark } from '../log-store/index.js';
import { defineMethod } from '../wire/index.js';
import type { Member } from './configuration.js';

/** What every message between members starts with. */
interface GroupMessage {
  group: string;
  /** Identity of the member the message is meant for. */
  to: string;
  /** Identity of the sender. */
  from: string;
  term: number;
}

export interface VoteRequest extends GroupMessage {
  lastIndex: number;
  lastTerm: number;
  /** A pre-vote asks whether a vote would be granted and changes nothing. */
  isPreVote: boolean;
  /** The leader asked for this election, so its being alive is no reason to refuse. */
  isTransfer: boolean;
}

export interface VoteResponse {
  term: number;
  granted: boolean;
}

export interface AppendRequest extends GroupMessage {
  previousIndex: number;
  previousTerm: number;
  entries: LogEntry[];
  commitIndex: number;
}

export interface AppendResponse {
  term: number;
  success: boolean;
  /** On success the last index known to match; else where the leader should try next, minus one. */
  matchIndex: number;
  /** The member's data folder, or its memory, has no room for entries. */
  isFull: boolean;
}

export interface Heartbeat {
  group: string;
  to: string;
  from: string;
  term: number;
  commitIndex: number;
}

/** Heartbeats of all groups that the sender leads and the receiver belongs to. */
export interface HeartbeatBatch {
  heartbeats: Heartbeat[];
}

export interface HeartbeatResponse {
  group: string;
  term: number;
  accepted: boolean;
  /** Whether the member knows how far its log matches the leader's; a restarted one does not. */
  knowsMatch: boolean;
  /** How far it matches then; entries up to there are synced. */
  matchIndex: number;
}

export interface SnapshotChunk extends GroupMessage {
  mark: SnapshotMark;
  configuration: Uint8Array;
  /** The group's members as the leader knows them: those of the snapshot may all have been replaced. */
  latestConfiguration: Uint8Array;
  /** Bytes of the whole state. */
  stateBytes: number;
  /** Where in the state the chunk belongs. */
  offset: number;
  chunk: Uint8Array;
}

export interface SnapshotResponse {
  term: number;
  accepted: boolean;
}

/** Asks a member that holds the whole log to start an election at once. */
export type TransferRequest = GroupMessage;

/** A member with a new data folder asks the leader to be taken in. */
export interface JoinRequest {
  group: string;
  member: Member;
}

export interface JoinResponse {
  /** Whether the answering member leads the group; if not, nothing was done. */
  leads: boolean;
  leaderAddress?: string;
  /** Whether the member is a voter now. */
  accepted: boolean;
}

export const VOTE = defineMethod<VoteRequest, VoteResponse>('consensus.vote');
export const APPEND = defineMethod<AppendRequest, AppendResponse>('consensus.append');
export const HEARTBEATS = defineMethod<HeartbeatBatch, HeartbeatResponse[]>('consensus.heartbeats');
export const SNAPSHOT = defineMethod<SnapshotChunk, SnapshotResponse>('consensus.snapshot');
export const TRANSFER = defineMethod<TransferRequest, boolean>('consensus.transfer');
export const JOIN = defineMethod<JoinRequest, JoinResponse>('consensus.join');
