/** What operators see of the system. */
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

/** Asks the leader of the intents group for the configuration's status. */
export const CONFIGURATION_STATUS = defineMethod<Record<string, never>, StatusResponse>(
  'operators.configuration-status',
);
