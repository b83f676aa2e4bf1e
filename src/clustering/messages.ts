/** Messages of processes that found a replicated group or ask to be taken into one. */
import type { Member } from '../consensus/index.js';
import { defineMethod } from '../wire/index.js';

/** A member presents itself to the group's leader; repeated for as long as the member runs. */
export interface AdmissionRequest {
  group: string;
  member: Member;
}

export interface AdmissionResponse {
  /** Whether the answering member leads the group; if not, nothing was noted. */
  leads: boolean;
  leaderAddress?: string;
}

export const REQUEST_ADMISSION = defineMethod<AdmissionRequest, AdmissionResponse>(
  'clustering.request-admission',
);
