/** What carrying out calls needs of the gateway. */
import type { BackendTable, EngineClient, ServiceClient } from '../backends/index.js';
import type { GatewayIdentity, CallRequest, JournalClient } from '../journal/index.js';
import type { RetryBudget } from '../limits/index.js';
import type { LeaseHolder } from '../membership/index.js';
import type { HoldPolicy } from '../retention/index.js';
import type { PrefixHints } from '../routing/index.js';
import type { Admission } from '../scheduling/index.js';
import type { GatewaySettings } from '../settings/index.js';
import type { GatewayMetrics } from '../observability/index.js';
import type { HistoryCache } from './history-cache.js';
import type { ProgramHints } from './program-hints.js';

export interface CallContext {
  identity: GatewayIdentity;
  settings: GatewaySettings;
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
  resolveAddress: (address: string) => string;
}

/** One call as its caller asked for it. */
export interface CallSpecification {
  tenant: string;
  programId: string;
  sequence: number;
  /** Raised by the caller each time it sends the call anew after `not_run`. */
  submission: number;
  requestHash: string;
  request: CallRequest;
  /** The caller says that it sent this before, so the journal is asked first. */
  isResend: boolean;
}
