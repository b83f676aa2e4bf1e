/** The interface of injected faults. */
import type { SeededRandom } from '../../src/common/index.js';
import type { Fleet } from '../fleet/fleet.js';
import type { HistoryRecorder } from './history-recorder.js';
import type { ProcessLocks } from './process-locks.js';

export interface FaultContext {
  fleet: Fleet;
  /** Used by this fault only, so that concurrent faults do not affect each other's draws. */
  random: SeededRandom;
  recorder: HistoryRecorder;
  /** Prevents two faults from stopping and starting the same process concurrently. */
  locks: ProcessLocks;
}

/**
 * What a fault affects. Faults of the family `disk` destroy the data of a member and never overlap:
 * the system tolerates the loss of one disk at a time.
 */
export type FaultFamily = 'process' | 'network' | 'disk' | 'backend';

export interface Fault {
  name: string;
  family: FaultFamily;
  /** Injects the fault, waits for its duration and reverts it. */
  run(context: FaultContext): Promise<void>;
}
