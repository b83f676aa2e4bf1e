/** Dependencies and inputs of call execution. */
import type { BackendTable, EngineClient, ServiceClient } from '../backends/index.js';
import type { GatewayIdentity, CallRequest, JournalClient } from '../journal/index.js';
import type { RetryBudget } from '../limits/index.js';
import type { LeaseHolder } from '../membership/index.js';
import type { MemoryBudget } from '../memory-budget/index.js';
import type { HoldPolicy } from '../retention/index.js';
import type { PrefixHints } from '../routing/index.js';
import type { Admission } from '../scheduling/index.js';
import type { GatewaySettings } from '../settings/index.js';
import type { GracefulShutdown } from '../shutdown/index.js';
import type { GatewayMetrics } from '../observability/index.js';
import type { HistoryCache } from './history-cache.js';
import type { ProgramHints } from './program-hints.js';

export interface CallContext {
  identity: GatewayIdentity;
  settings: GatewaySettings;
  memoryBudget: MemoryBudget;
  lease: LeaseHolder;
  journal: JournalClient;
  backends: BackendTable;
  engineAdmission: Admission;
  serviceAdmission: Admission;
  engines: EngineClient;
  services: ServiceClient;
  histories: HistoryCache;
  hints: ProgramHints;
  holds: HoldPolicy;
  prefixes: PrefixHints;
  retries: RetryBudget;
  metrics: GatewayMetrics;
  /** Time frame of the gateway's stop. */
  shutdown: GracefulShutdown;
  resolveAddress: (address: string) => string;
}

/** A call as its caller requested it. */
export interface CallSpecification {
  tenant: string;
  programId: string;
  sequence: number;
  /** Incremented by the caller each time it resubmits the call after `not_run`. */
  submission: number;
  requestHash: string;
  request: CallRequest;
  /** Whether the caller has sent this request before, so that the journal is checked first. */
  isResend: boolean;
}
