/** What the tool asks of a process full of hollow nodes and runners. */

export interface HollowNodeSpecification {
  name: string;
  zone: string;
}

/** What all nodes of a process have in common. */
export interface HollowNodeSettings {
  secret: string;
  controlAddresses: string[];
  renewIntervalMs: number;
  engineSubset: number;
  maxLoadPolls: number;
  maxLoadAgeMs: number;
}

export type HollowCommand =
  | {
      type: 'start';
      nodes: HollowNodeSpecification[];
      /** Names of hollow runners in this process. */
      runners: string[];
      settings: HollowNodeSettings;
      /** Whether nodes share documents; not when their memory is measured. */
      sharesDocuments: boolean;
    }
  /** Opens an interface that answers orders and releases for all hollow runners. */
  | { type: 'listen' }
  /** `statistics` collects garbage first; `states` is cheap. */
  | { type: 'statistics' | 'states' }
  | { type: 'cut' | 'heal' | 'restart'; nodes: string[] }
  | { type: 'stop' };

export interface HollowNodeState {
  name: string;
  zone: string;
  isHeld: boolean;
  revision: number;
  revisionSinceMs: number;
}

export interface HollowStatistics {
  /** Processor time of the whole process so far, in milliseconds. */
  cpuMs: number;
  /** Heap after a collection, in bytes. */
  heapBytes: number;
  residentBytes: number;
  /** Bytes to and from control over all nodes so far. */
  controlBytes: number;
  /** Questions for load so far. */
  loadPolls: number;
}

export interface HollowReply {
  id: number;
  statistics?: HollowStatistics;
  states?: HollowNodeState[];
  port?: number;
}
