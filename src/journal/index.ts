/** The journal: replicated records of programs and their calls, written before and after each call. */
export * from './commands.js';
export { JournalClient } from './journal-client.js';
export { JournalLeader } from './journal-leader.js';
export { JournalStateMachine } from './journal-state-machine.js';
export { AWAIT_SETTLED } from './messages.js';
export * from './program-id.js';
export * from './program-state.js';
export type { ReleaseSender } from './release-delivery.js';
