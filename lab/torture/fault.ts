/** What a fault is, and what it may use. */
import type { SeededRandom } from '../../src/common/index.js';
import type { Fleet } from '../fleet/fleet.js';
import type { HistoryRecorder } from './history-recorder.js';
import type { ProcessLocks } from './process-locks.js';

export interface FaultContext {
  fleet: Fleet;
  /** Of this fault alone, so that faults at the same time do not disturb each other's choices. */
  random: SeededRandom;
  recorder: HistoryRecorder;
  /** Keeps two faults from ending and starting the same process at once. */
  locks: ProcessLocks;
}

/**
 * How much a fault takes away. `disk`: a member's data; two of them never overlap, because the
 * system promises to survive only one at a time.
 */
export type FaultFamily = 'process' | 'network' | 'disk' | 'backend';

export interface Fault {
  name: string;
  family: FaultFamily;
  /** Causes the failure, keeps it up for its time and mends it. */
  run(context: FaultContext): Promise<void>;
}
