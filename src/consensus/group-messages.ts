/** How users of a replicated group, in any process, reach its leader. */
import { defineMethod } from '../wire/index.js';
import type { Rejection } from './leader-refusal.js';

export interface GroupRequest {
  group: string;
  /** An encoded command or query; its meaning is the state machine's. */
  body: Uint8Array;
}

export interface GroupResponse extends Rejection {
  /** The encoded result; absent when this member could not answer as the leader. */
  body?: Uint8Array;
}

export const EXECUTE = defineMethod<GroupRequest, GroupResponse>('group.execute');
export const QUERY = defineMethod<GroupRequest, GroupResponse>('group.query');
