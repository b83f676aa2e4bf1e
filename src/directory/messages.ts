/** Messages between the directory's leader and the processes that follow it. */
import type { LeaderAnswer, Member } from '../consensus/index.js';
import { defineMethod } from '../wire/index.js';
import type { BackendUpdate } from './backend-updates.js';
import type { BackendRegistration } from './backend-registration.js';
import type { Incarnation } from './incarnation.js';
import type { RetirementState } from './directory-state-machine.js';
import type { LoadTotals } from './load-totals.js';
import type { PackedConfiguration } from './packed-configuration.js';
import { INITIAL_SILENCE_VERSION, type SilenceVersion } from './silent-backend-tracker.js';

export const DIRECTORY_GROUP = 'directory';

export type NodeRole = 'gateway' | 'control' | 'journal';

/** How a process presents itself to the directory's leader. */
export interface NodeAnnouncement {
  name: string;
  role: NodeRole;
  /** Identity of its data folder, for those that have one. */
  memberId?: string;
  /** `host:port` of its internal endpoint. */
  address: string;
  zone: string;
}

/** Calls under way from one gateway at one back end. */
export interface BackendLoad {
  id: string;
  inFlight: number;
}

/** Which parts of the view the sender holds. */
export interface KnownVersions {
  /** Log index of the configuration; 0 for none. */
  configuration: number;
  /** Log index of the last change among the back ends that are held; 0 for none. */
  backendsIndex: number;
  /** Of the silent back ends. */
  silence: SilenceVersion;
  cluster: string;
}

/** Of a process that starts. */
export const INITIAL_KNOWN_VERSIONS: KnownVersions = {
  configuration: 0,
  backendsIndex: 0,
  silence: INITIAL_SILENCE_VERSION,
  cluster: '',
};

export interface WatchRequest {
  node: NodeAnnouncement;
  known: KnownVersions;
  /** Answer at once, for a process that starts. */
  isUrgent: boolean;
  loads: BackendLoad[];
}

export interface ClusterView {
  version: string;
  controlAddresses: string[];
  ledgerAddresses: string[];
  ledgerFounders: Member[];
  retirements: [string, RetirementState][];
  gatewayCount: number;
}

export interface ConfigurationView {
  /** Log index at which it came into force. */
  index: number;
  /** Packed routes; see `PackedConfiguration`. */
  routes: Uint8Array;
}

/** What the sender holds of the parts that calls are forwarded by. */
export interface CommittedUpdateRequest {
  /** Log index of the configuration; 0 for none. */
  configurationIndex: number;
  /** Log index of the last change of back ends; 0 for none. */
  backendsIndex: number;
}

/** What one member has applied after what the sender holds; any member tells it, also one that lags. */
export interface CommittedUpdate {
  configuration?: ConfigurationView;
  backends?: BackendUpdate;
}

/** The parts of the directory that are newer than what the watcher holds. */
export interface DirectoryView {
  configuration?: ConfigurationView;
  backends?: BackendUpdate;
  /** Packed `SilenceChanges`. */
  silence?: Uint8Array;
  cluster?: ClusterView;
  /** Calls by back end, for gateways. */
  loads?: LoadTotals;
  /**
   * Time since a majority of the group last stood behind the leader that answers, in milliseconds: what it tells
   * was in force then, and may have been overtaken by another leader since.
   */
  confirmedAgeMs: number;
}

export type RetirementResponse = 'accepted' | 'unknown-node' | 'too-few-left';

export interface RetirementRequest {
  node: string;
}

export interface ReadConfigurationResponse {
  source?: string;
}

/** The start that leaves; without its time whichever start is registered under the name. */
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
export const COMPLETE_RETIREMENT = defineMethod<RetirementRequest, LeaderAnswer<Acknowledgement>>(
  'directory.complete-retirement',
);
