/** Settings of the processes that forward calls, whatever form they were read from. */
import type { ConsensusOptions } from '../consensus/index.js';
import type { QuotaTolerance } from '../quotas/index.js';

export interface NodeSettings {
  /** Unique name of the machine. */
  name: string;
  zone: string;
  /** `host:port` of the internal endpoint, as other processes are told. */
  internalAddress: string;
  /** `host:port` that the internal endpoint listens on, behind a relay. @default internalAddress */
  listenAddress?: string;
  /** Internal addresses of control processes to begin with. */
  controlSeeds: string[];
  /** Whether this is the first start of the whole system, on empty disks. */
  isFirstStart: boolean;
  /** Folder for durable data; only control and journal processes have one. */
  dataFolder?: string;
  /** Machines that may be lost at one time. */
  toleratedLosses: number;
  /** Time between two heartbeats of a back end, in milliseconds. */
  heartbeatIntervalMs: number;
  /** No call may run that was sent so long after its key was taken away, in milliseconds. @default no bound */
  revocationBoundMs?: number;
  /** How far above their limits tenants may be at worst. @default not at all */
  quotaTolerance?: QuotaTolerance;
  /** Shared secret of the internal protocol. */
  secret: string;
  /** Bytes of memory beyond which the process is killed. @default no limit */
  memoryLimitBytes?: number;
  /** Bytes that the data folder may take. @default no limit */
  storageQuotaBytes?: number;
}

/**
 * Timing of the groups of these processes. Members are a few milliseconds apart. A restarted
 * member's first election comes early, since a whole group that lost power has no leader to wait
 * for; where there is one, the pre-vote disturbs nobody.
 */
export const CONSENSUS_TIMING: ConsensusOptions = {
  heartbeatIntervalMs: 60,
  electionTimeoutMs: 300,
  startupElectionTimeoutMs: 40,
  disconnectTimeoutMs: 130,
};

/** Voters of a group that must outlive so many lost machines. */
export function voterCountFor(toleratedLosses: number): number {
  return 2 * toleratedLosses + 1;
}

export function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

export function portOf(address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1));
}
