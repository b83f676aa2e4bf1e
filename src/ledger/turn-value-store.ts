/** Store of the inputs and outputs of kept turns by turn id, outside of the replicated state. */
import type { ValueStore } from '../value-store/index.js';

/** Operations of a value store that the ledger uses. A value is a turn's input followed by its output. */
export type TurnValueStore = Pick<
  ValueStore,
  'has' | 'put' | 'get' | 'delete' | 'retain' | 'sync' | 'waitForRoom' | 'hasRoomFor'
>;
