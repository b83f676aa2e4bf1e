/** Commands of the replicated directory. */
import type { Member } from '../consensus/index.js';
import type { LedgerGroupFounders } from '../ledger/ledger-groups.js';
import type { BackendRegistration } from './backend-registration.js';
import type { PackedConfiguration } from './packed-configuration.js';

/** Replaces the configuration unless the current one has the same or a higher generation. */
export interface PutConfigurationCommand extends PackedConfiguration {
  kind: 'put-configuration';
}

/** Records a backend's registration or change of phase. */
export interface RegisterBackendCommand {
  kind: 'register-backend';
  registration: BackendRegistration;
}

/** Removes a backend that has left or has missed heartbeats for too long. */
export interface RemoveBackendCommand {
  kind: 'remove-backend';
  id: string;
  /**
   * Whether the backend deregistered itself: later heartbeats of the incarnation are then ignored.
   * A backend that was removed for missing heartbeats may register again.
   */
  hasDeparted: boolean;
}

/** Sets the groups of the ledger and their initial members; the first such command wins. */
export interface FoundLedgerCommand {
  kind: 'found-ledger';
  /** Members that found the first group. */
  founders: Member[];
  /** The other groups. @default none */
  furtherGroups?: LedgerGroupFounders[];
}

export interface StartRetirementCommand {
  kind: 'start-retirement';
  node: string;
}

export interface CompleteRetirementCommand {
  kind: 'complete-retirement';
  node: string;
}

/** Records which gateways may hold shares of tenants' limits, and for which tenants gateways may hold rates. */
export interface SetQuotaSharesCommand {
  kind: 'set-quota-shares';
  gateways: string[];
  tenants: string[];
}

export type DirectoryCommand =
  | PutConfigurationCommand
  | RegisterBackendCommand
  | RemoveBackendCommand
  | FoundLedgerCommand
  | StartRetirementCommand
  | CompleteRetirementCommand
  | SetQuotaSharesCommand;

export interface DirectoryResult {
  /** Whether the command changed the state. */
  changed: boolean;
}
