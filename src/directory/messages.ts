/** Messages between the directory group and its clients. */
import type { StatisticsReport } from '../backend-statistics/index.js';
import type { DemandReport, ServiceAdmission } from '../admission/messages.js';
import {
  type CrashVersion,
  type CrashView,
  INITIAL_CRASH_VERSION,
} from '../crash-guard/messages.js';
import type { LeaderAnswer, Member } from '../consensus/index.js';
import type { HealthReport, ZoneHealth } from '../gateway-health/index.js';
import { LEDGER_GROUP, type LedgerGroupFounders } from '../ledger/ledger-groups.js';
import { defineMethod } from '../wire/index.js';
import type { BackendUpdate } from './backend-updates.js';
import type { BackendRegistration } from './backend-registration.js';
import type { Incarnation } from './incarnation.js';
import type { RetirementState } from './directory-state-machine.js';
import type { LoadTotals } from './load-totals.js';
import type { PackedConfiguration } from './packed-configuration.js';
import type { WaitingCount } from '../waiting/index.js';
import type { ServiceVersions } from './service-versions.js';
import { INITIAL_SILENCE_VERSION, type SilenceVersion } from './silent-backend-tracker.js';

export const DIRECTORY_GROUP = 'directory';

export type NodeRole = 'gateway' | 'control' | 'journal';

/** Announcement of a process to the directory's leader. */
export interface NodeAnnouncement {
  name: string;
  role: NodeRole;
  /** Identity of the data folder, for processes that have one. */
  memberId?: string;
  /** `host:port` of its internal endpoint. */
  address: string;
  zone: string;
}

/** Calls in flight from one gateway at one backend. */
export interface BackendLoad {
  id: string;
  inFlight: number;
}

/** Versions of the parts of the directory view that the sender holds. */
export interface KnownVersions {
  /** Log index of the configuration; 0 for none. */
  configuration: number;
  /** Log index of the last backend change that the sender holds; 0 for none. */
  backendsIndex: number;
  /** Version of the set of silent backends. */
  silence: SilenceVersion;
  cluster: string;
  /** Version of the requests under which backends ended; absent for processes that do not count them. */
  crashes?: CrashVersion;
}

/** Versions of a process that has just started. */
export const INITIAL_KNOWN_VERSIONS: KnownVersions = {
  configuration: 0,
  backendsIndex: 0,
  silence: INITIAL_SILENCE_VERSION,
  cluster: '',
  crashes: INITIAL_CRASH_VERSION,
};

export interface WatchRequest {
  node: NodeAnnouncement;
  known: KnownVersions;
  /** Respond immediately instead of long polling, for a process that has just started. */
  isUrgent: boolean;
  loads: BackendLoad[];
  /** Totals of the sender's calls by backend, in the scheduling mode `coordinated`. */
  statistics?: StatisticsReport;
  /** Health of an overloaded gateway, in `coordinated` mode. */
  health?: HealthReport;
  /** Calls that wait in the gateway; absent if the last report still holds. */
  waiting?: WaitingCount[];
  /** Demand for each service; null if a gateway with shared admission has nothing new to report. */
  demand?: DemandReport | null;
}

export interface ClusterView {
  version: string;
  controlAddresses: string[];
  ledgerAddresses: string[];
  /** Members that found the first ledger group; none before it is founded. */
  ledgerFounders: Member[];
  /** All groups of the ledger; absent in views of releases with a single one. */
  ledgerGroups?: LedgerGroupFounders[];
  retirements: [string, RetirementState][];
  gatewayCount: number;
}

/** The groups of the ledger; none before it is founded. */
export function ledgerGroupsOf({
  ledgerFounders: founders,
  ledgerGroups,
}: ClusterView): LedgerGroupFounders[] {
  if (ledgerGroups) return ledgerGroups;
  return founders.length === 0 ? [] : [{ name: LEDGER_GROUP, founders }];
}

export interface ConfigurationView {
  /** Log index at which the configuration was applied. */
  index: number;
  /** Packed routes; see `PackedConfiguration`. */
  routes: Uint8Array;
}

/** Versions that the sender holds of the parts that affect forwarding. */
export interface CommittedUpdateRequest {
  /** Log index of the configuration; 0 for none. */
  configurationIndex: number;
  /** Log index of the last backend change; 0 for none. */
  backendsIndex: number;
}

/** Parts that a member has applied after the sender's versions; served by any member, even a lagging one. */
export interface CommittedUpdate {
  configuration?: ConfigurationView;
  backends?: BackendUpdate;
}

/** Parts of the directory that are newer than the watcher's versions. */
export interface DirectoryView {
  configuration?: ConfigurationView;
  backends?: BackendUpdate;
  /** Packed `SilenceDelta`. */
  silence?: Uint8Array;
  cluster?: ClusterView;
  /** Requests under which backends ended, for gateways that count them. */
  crashes?: CrashView;
  /** Calls in flight by backend, for gateways. */
  loads?: LoadTotals;
  /** Packed conditions of the backends that differ from normal, for gateways in the scheduling mode `coordinated`. */
  statistics?: Uint8Array;
  /** Answer to the health that the request reported. */
  zoneHealth?: ZoneHealth;
  /** Calls that wait in the other gateways; absent if there are none. */
  waiting?: WaitingCount[];
  /** Services that are not admitted entirely; absent until the leader has decided, or without shared admission. */
  admission?: ServiceAdmission[];
  /**
   * Time since a quorum of the group last confirmed the responding leader, in milliseconds. The view was current
   * then; another leader may have changed the state since.
   */
  confirmedAgeMs: number;
}

export type RetirementResponse = 'accepted' | 'unknown-node' | 'too-few-left';

export interface RetirementRequest {
  node: string;
}

/** Reports that a ledger group has removed a node. */
export interface RetirementReport extends RetirementRequest {
  /** The group that the node has left; absent in reports of releases with a single one. */
  group?: string;
}

export interface ReadConfigurationResponse {
  source?: string;
}

export interface ServiceVersionsRequest {
  services: readonly string[];
  /** Time within which a version counts that is not registered any more, in milliseconds. */
  withinMs: number;
}

/** The incarnation that leaves; without a start time, all that are registered under the name. */
export type RemoveBackendRequest = Incarnation;

export type PutConfigurationRequest = PackedConfiguration;

export interface Acknowledgement {
  isAcknowledged: true;
}

export const WATCH = defineMethod<WatchRequest, LeaderAnswer<DirectoryView>>('directory.watch');
export const COMMITTED_UPDATE = defineMethod<CommittedUpdateRequest, CommittedUpdate>(
  'directory.committed-news',
);
export const HEARTBEAT = defineMethod<BackendRegistration, LeaderAnswer<Acknowledgement>>(
  'directory.heartbeat',
);
export const REMOVE_BACKEND = defineMethod<RemoveBackendRequest, LeaderAnswer<Acknowledgement>>(
  'directory.remove-backend',
);
export const PUT_CONFIGURATION = defineMethod<
  PutConfigurationRequest,
  LeaderAnswer<Acknowledgement>
>('directory.put-configuration');
export const READ_CONFIGURATION = defineMethod<
  Record<string, never>,
  LeaderAnswer<ReadConfigurationResponse>
>('directory.read-configuration');
export const START_RETIREMENT = defineMethod<RetirementRequest, LeaderAnswer<RetirementResponse>>(
  'directory.start-retirement',
);
export const RETIREMENT_STATE = defineMethod<
  RetirementRequest,
  LeaderAnswer<RetirementState | 'none'>
>('directory.retirement-state');
export const COMPLETE_RETIREMENT = defineMethod<RetirementReport, LeaderAnswer<Acknowledgement>>(
  'directory.complete-retirement',
);
export const SERVICE_VERSIONS = defineMethod<ServiceVersionsRequest, LeaderAnswer<ServiceVersions>>(
  'directory.service-versions',
);
