/** Messages between clients of a replicated group and its leader. */
import { defineMethod } from '../wire/index.js';
import type { Rejection } from './leader-refusal.js';

export interface GroupRequest {
  group: string;
  /** Encoded command or query; the format is defined by the state machine. */
  body: Uint8Array;
}

export interface GroupResponse extends Rejection {
  /** Encoded result; absent if this member could not execute the request as leader. */
  body?: Uint8Array;
}

export const EXECUTE = defineMethod<GroupRequest, GroupResponse>('group.execute');
export const QUERY = defineMethod<GroupRequest, GroupResponse>('group.query');
