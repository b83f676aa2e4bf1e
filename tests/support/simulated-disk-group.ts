/** A member of a group with a list state machine, whose log and snapshots are on a simulated disk. */
import { join } from 'node:path';
import {
  type ConsensusOptions,
  GroupHost,
  type Member,
  type ReplicatedGroup,
  checkConsensusOptions,
} from '../../src/consensus/index.js';
import { SnapshotStore, WriteAheadLog } from '../../src/log-store/index.js';
import { createLogger } from '../../src/observability/index.js';
import { MethodRouter } from '../../src/wire/index.js';
import { GROUP, ListMachine } from './consensus-cluster.js';
import type { LoopbackNetwork } from './loopback-network.js';
import type { SimulatedDisk } from './simulated-disk.js';

export interface ListGroupOptions {
  disk: SimulatedDisk;
  network: LoopbackNetwork;
  own: Member;
  /** Members that bootstrap the group; empty if the member joins an existing group. */
  founders: Member[];
  consensus: ConsensusOptions;
  /** Size of a log segment. @default the default of the log */
  segmentBytes?: number;
}

export interface RunningListMember {
  group: ReplicatedGroup;
  machine: ListMachine;
  /** Fatal errors of the process. */
  fatal: unknown[];
  /** Aborted when the process is killed. */
  killed: AbortSignal;
}

/**
 * Starts a process of the member from its disk.
 * @param killAt number of the disk operation at which it is killed, starting at 1
 */
export async function startListMember(
  { disk, network, own, founders, consensus, segmentBytes }: ListGroupOptions,
  killAt = Number.POSITIVE_INFINITY,
): Promise<RunningListMember> {
  const killing = new AbortController();
  const { signal: killed } = killing;
  const root = disk.startProcess(() => {
    network.remove(own.address);
    killing.abort();
  });
  disk.killAt = killAt;
  const fatal: unknown[] = [];
  const onFatal = (error: unknown): void => {
    if (!killed.aborted) fatal.push(error);
  };
  const wal = await WriteAheadLog.open({
    folder: join(root, 'data', 'log'),
    segmentBytes,
    onFatal,
  });
  const host = new GroupHost({
    ownId: own.id,
    wal,
    snapshots: new SnapshotStore(join(root, 'data', 'snapshots')),
    peers: network.peersOf(own.address),
    options: checkConsensusOptions(consensus),
    logger: createLogger({ test: 'simulated-disk-group' }),
    onFatal,
    onLeadershipChange: () => undefined,
  });
  killed.addEventListener('abort', () => host.stopNow());
  if (founders.length > 0) await host.bootstrapGroup(GROUP, { members: founders });
  const machine = new ListMachine();
  const group = await host.openGroup(GROUP, machine);
  killed.throwIfAborted();
  const router = new MethodRouter();
  host.registerHandlers(router);
  network.listen(own.address, router);
  host.start();
  return { group, machine, fatal, killed };
}
