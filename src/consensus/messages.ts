/** Messages between the members of replicated groups. */
import type { LogEntry, SnapshotMark } from '../log-store/index.js';
import { defineMethod } from '../wire/index.js';
import type { Member } from './configuration.js';

/** Fields common to all messages between members. */
interface GroupMessage {
  group: string;
  /** Identity of the receiver. */
  to: string;
  /** Identity of the sender. */
  from: string;
  term: number;
}

export interface VoteRequest extends GroupMessage {
  lastIndex: number;
  lastTerm: number;
  /** A pre-vote asks whether a vote would be granted, without changing any state. */
  isPreVote: boolean;
  /** The leader requested this election, so voters grant it despite recent leader contact. */
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
  /** On success, the last index known to match; otherwise the index before the next one to try. */
  matchIndex: number;
  /** The member's disk or memory has no space for entries. */
  isFull: boolean;
}

export interface Heartbeat {
  group: string;
  to: string;
  from: string;
  term: number;
  commitIndex: number;
}

/** Heartbeats from the groups led by the sender to one receiver. */
export interface HeartbeatBatch {
  heartbeats: Heartbeat[];
}

export interface HeartbeatResponse {
  group: string;
  term: number;
  accepted: boolean;
  /** Whether the member knows its match index; unknown after a restart. */
  knowsMatch: boolean;
  /** Last index known to match the leader's log; entries up to it are synced. */
  matchIndex: number;
}

export interface SnapshotChunk extends GroupMessage {
  mark: SnapshotMark;
  configuration: Uint8Array;
  /**
   * Current configuration of the leader; all members in the snapshot's one may have been replaced.
   */
  latestConfiguration: Uint8Array;
  /** Size of the complete state, in bytes. */
  stateBytes: number;
  /** Position of the chunk in the state. */
  offset: number;
  chunk: Uint8Array;
}

export interface SnapshotResponse {
  term: number;
  accepted: boolean;
}

/** Asks an up-to-date member to start an election immediately. */
export type TransferRequest = GroupMessage;

/** Request of a member with a new data folder to join a group. */
export interface JoinRequest {
  group: string;
  member: Member;
}

export interface JoinResponse {
  /** Whether the responding member leads the group; if not, the request had no effect. */
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
