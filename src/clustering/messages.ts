/** Messages of processes that request admission to a replicated group. */
import type { Member } from '../consensus/index.js';
import { defineMethod } from '../wire/index.js';

/** Announces a member to the group's leader; repeated for as long as the member runs. */
export interface AdmissionRequest {
  group: string;
  member: Member;
}

export interface AdmissionResponse {
  /** Whether the responding member leads the group; if not, the request had no effect. */
  leads: boolean;
  leaderAddress?: string;
}

export const REQUEST_ADMISSION = defineMethod<AdmissionRequest, AdmissionResponse>(
  'clustering.request-admission',
);
