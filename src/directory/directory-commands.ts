/** Commands of the replicated directory. */
import type { Member } from '../consensus/index.js';
import type { BackendRegistration } from './backend-registration.js';
import type { PackedConfiguration } from './packed-configuration.js';

/** Puts a configuration in force unless one of the same or a higher generation is. */
export interface PutConfigurationCommand extends PackedConfiguration {
  kind: 'put-configuration';
}

/** Takes note of a back end's registration or change of phase. */
export interface RegisterBackendCommand {
  kind: 'register-backend';
  registration: BackendRegistration;
}

/** A back end has left, or has been silent for too long. */
export interface RemoveBackendCommand {
  kind: 'remove-backend';
  id: string;
  /** It said so itself: no heartbeat that comes later counts. One that fell silent may come back. */
  hasDeparted: boolean;
}

/** Names the members that found the ledger group; the first such command wins. */
export interface FoundLedgerCommand {
  kind: 'found-ledger';
  founders: Member[];
}

export interface StartRetirementCommand {
  kind: 'start-retirement';
  node: string;
}

export interface CompleteRetirementCommand {
  kind: 'complete-retirement';
  node: string;
}

/** What may be out of tenants' limits: all gateways that may hold shares, and tenants of whose limits they may hold rates. */
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

/** Whether a command changed anything. */
export interface DirectoryResult {
  changed: boolean;
}
