/** Status of the system as reported to operators. */
import { defineMethod } from '../wire/index.js';
import type { ConfigurationStatus } from '../control/intents-leader.js';

export interface GroupStatus {
  group: string;
  member: string;
  state: string;
  term: number;
  commitIndex: number;
  appliedIndex: number;
  voters: string[];
  learners: string[];
}

export interface SystemStatus {
  configuration: ConfigurationStatus;
  groups: GroupStatus[];
}

export type StatusResponse =
  { status: ConfigurationStatus } | { redirect: { leaderAddress?: string } };

/** Requests the configuration's status from the leader of the intents group. */
export const CONFIGURATION_STATUS = defineMethod<Record<string, never>, StatusResponse>(
  'operators.configuration-status',
);
