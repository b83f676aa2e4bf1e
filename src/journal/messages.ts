/** Messages of the journal beside commands and queries. */
import { defineMethod } from '../wire/index.js';
import type { CallResponse } from './commands.js';

export interface AwaitSettledRequest {
  group: string;
  programId: string;
  tenant: string;
  sequence: number;
  /** The longest to wait, in milliseconds. */
  waitMs: number;
}

export interface AwaitSettledResponse {
  /** Absent when this member does not lead the group. */
  answer?: CallResponse;
  leaderAddress?: string;
}

export const AWAIT_SETTLED = defineMethod<AwaitSettledRequest, AwaitSettledResponse>(
  'journal.await-settled',
);
