/** RPC messages of the journal other than commands and queries. */
import { defineMethod } from '../wire/index.js';
import type { CallResponse } from './commands.js';

export interface AwaitSettledRequest {
  group: string;
  programId: string;
  tenant: string;
  sequence: number;
  /** Maximum wait, in milliseconds. */
  waitMs: number;
}

export interface AwaitSettledResponse {
  /** Absent if this member is not the group's leader. */
  answer?: CallResponse;
  leaderAddress?: string;
}

export const AWAIT_SETTLED = defineMethod<AwaitSettledRequest, AwaitSettledResponse>(
  'journal.await-settled',
);
