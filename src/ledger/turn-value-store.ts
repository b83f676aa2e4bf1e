/** Where the inputs and outputs of kept turns are: by the turn's id, outside of the replicated state. */
import type { ValueStore } from '../value-store/index.js';

/** What the ledger needs of a value store; a value is a turn's input followed by its output. */
export type TurnValueStore = Pick<
  ValueStore,
  'has' | 'put' | 'get' | 'delete' | 'retain' | 'sync' | 'waitForRoom'
>;
