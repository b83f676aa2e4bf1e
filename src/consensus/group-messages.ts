/** How users of a replicated group, in any process, reach its leader. */
import { defineMethod } from '../wire/index.js';

export interface GroupRequest {
  group: string;
  /** An encoded command or query; its meaning is the state machine's. */
  body: Uint8Array;
}

export interface GroupResponse {
  /** The encoded result; absent when this member could not answer as the leader. */
  body?: Uint8Array;
  /** Where the leader was last known to be. */
  leaderAddress?: string;
  /** Why there is no result, for the error that the user finally sees. */
  refusal?: string;
}

export const EXECUTE = defineMethod<GroupRequest, GroupResponse>('group.execute');
export const QUERY = defineMethod<GroupRequest, GroupResponse>('group.query');
