/** Intents: what operators want, as revisions that are planned and confirmed. */
export * from './commands.js';
export * from './document.js';
export {
  type PartialDocument,
  isPartialDeclaration,
  partialDocumentSchema,
} from './partial-document.js';
export { IntentStateMachine } from './intent-state-machine.js';

/** Name of the replicated group that keeps the intents. */
export const INTENTS_GROUP = 'intents';
