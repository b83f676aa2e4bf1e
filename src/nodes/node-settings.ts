/** Settings of the processes that forward calls, independent of the file format. */
import type { ConsensusOptions } from '../consensus/index.js';
import type { CrashLimits } from '../crash-guard/index.js';
import type { ConnectionLimits } from '../http/index.js';
import type { QuotaTolerance } from '../quotas/index.js';

export interface NodeSettings {
  /** Unique name of the machine. */
  name: string;
  zone: string;
  /** `host:port` of the internal endpoint, as announced to other processes. */
  internalAddress: string;
  /** `host:port` that the internal endpoint listens on, if behind a relay. @default internalAddress */
  listenAddress?: string;
  /** Internal addresses of control processes to contact first. */
  controlSeeds: string[];
  /** Whether the whole system starts for the first time, with empty disks. */
  isFirstStart: boolean;
  /** Folder for durable data, used by control and journal processes only. */
  dataFolder?: string;
  /** Number of machines that may be lost at the same time. */
  toleratedLosses: number;
  /** Number of ledger groups founded at the first start of the system. @default by the number of journal processes */
  ledgerGroups?: number;
  /** Interval between heartbeats of a backend, in milliseconds. */
  heartbeatIntervalMs: number;
  /** Time after the revocation of a key from which calls with it must not run, in milliseconds. @default no bound */
  revocationBoundMs?: number;
  /** By how much tenants may exceed their limits. @default not at all */
  quotaTolerance?: QuotaTolerance;
  /** Back ends that may end under one request. @default three, counted for five minutes */
  crashLimits?: CrashLimits;
  /** Shared secret of the internal protocol. */
  secret: string;
  /** Memory limit above which the process is killed. @default no limit, for a gateway's budget half of the machine's memory */
  memoryLimitBytes?: number;
  /** Bounds of the server of callers or operators. @default DEFAULT_CONNECTION_LIMITS */
  connectionLimits?: Partial<ConnectionLimits>;
  /** Maximum size of the data folder. @default no limit */
  storageQuotaBytes?: number;
}

/**
 * Consensus timing for members that are a few milliseconds apart. The first election after a restart
 * starts early, because a group that lost power as a whole has no leader to wait for; the pre-vote
 * protects an existing leader.
 */
export const CONSENSUS_TIMING: ConsensusOptions = {
  heartbeatIntervalMs: 60,
  electionTimeoutMs: 300,
  startupElectionTimeoutMs: 40,
  disconnectTimeoutMs: 130,
};

/** Returns the number of voters that a group needs to survive the loss of so many machines. */
export function voterCountFor(toleratedLosses: number): number {
  return 2 * toleratedLosses + 1;
}

export function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

export function portOf(address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1));
}
