/** The ledger: token budgets of programs, and kept turns that later turns can continue. */
export * from './ledger-commands.js';
export { type CachedTurn, TurnHistoryCache } from './history-cache.js';
export type { Ledger } from './ledger.js';
export { LedgerClient, type NextTurn } from './ledger-client.js';
export * from './ledger-groups.js';
export { LedgerRouter } from './ledger-router.js';
export { GroupValueStore } from './group-value-store.js';
export { HistoryMissingError, NotReservedError } from './ledger-errors.js';
export {
  type ReservationStep,
  ReservationTrace,
  type ReservationTimings,
} from './reservation-trace.js';
export { LedgerService, registerLedgerHandlers } from './ledger-service.js';
export { LedgerStateMachine } from './ledger-state-machine.js';
export { TurnValuesMissingError } from './turn-history-store.js';
export type { TurnValueStore } from './turn-value-store.js';
export * from './messages.js';
export type { TurnPlacement } from './program-placements.js';
export type { ReservedStream, StreamRecord, VersionKey } from './stream-versions.js';
export { HistoryReader } from './history-reader.js';
export { ValueCopySender } from './value-copy-sender.js';
