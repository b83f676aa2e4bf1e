/** Intents: the desired state that operators declare, as planned and confirmed revisions. */
export * from './commands.js';
export * from './document.js';
export {
  type PartialDocument,
  isPartialDeclaration,
  partialDocumentSchema,
} from './partial-document.js';
export { IntentStateMachine } from './intent-state-machine.js';

/** Name of the replicated group that stores the intents. */
export const INTENTS_GROUP = 'intents';
