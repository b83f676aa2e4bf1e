/** A replicated group of several members in one process, over a network that can be cut. */
import { rm } from 'node:fs/promises';
import { join } from 'node:path';
import { onTestFinished } from 'vitest';
import {
  type ConsensusOptions,
  type ExternalState,
  GroupClient,
  type GroupConfiguration,
  GroupHost,
  JOIN,
  type JoinRequest,
  type JoinResponse,
  type Member,
  type ReplicatedGroup,
  type StateMachine,
  checkConsensusOptions,
  registerGroupService,
} from '../../src/consensus/index.js';
import { SnapshotStore, WriteAheadLog } from '../../src/log-store/index.js';
import { createLogger } from '../../src/observability/index.js';
import { FaultyDisk } from './faulty-disk.js';
import { LoopbackNetwork } from './loopback-network.js';
import { MethodRouter, decodeValue, encodeValue } from '../../src/wire/index.js';
import { temporaryFolder } from './temporary-folder.js';
import { waitUntil } from './wait-until.js';

export const GROUP = 'test-group';

/** Keeps the list of all applied commands. */
export class ListMachine implements StateMachine {
  items: string[] = [];
  readonly external?: ExternalState;

  constructor(external?: ExternalState) {
    this.external = external;
  }

  apply(command: Uint8Array): unknown {
    this.items.push(decodeValue<string>(command));
    return this.items.length;
  }

  snapshot(): Iterable<Uint8Array> {
    return [encodeValue(this.items)];
  }

  restore(state: Uint8Array): void {
    this.items = decodeValue<string[]>(state);
  }
}

export interface RunningMember {
  member: Member;
  machine: ListMachine;
  host: GroupHost;
  group: ReplicatedGroup;
  wal: WriteAheadLog;
  /** Methods that it answers. */
  router: MethodRouter;
  /** The disk below its write-ahead log. */
  disk: FaultyDisk;
  fatalErrors: unknown[];
}

export interface ClusterOptions {
  size: number;
  folder: string;
  consensus?: ConsensusOptions;
  quotaBytes?: number;
  /** Makes the state machine of a member. @default a list without external state */
  createMachine?: (member: Member) => ListMachine;
  /** @default one without delays */
  network?: LoopbackNetwork;
}

const FAST_TIMING: ConsensusOptions = { heartbeatIntervalMs: 20, electionTimeoutMs: 120 };

export class ConsensusCluster {
  readonly network: LoopbackNetwork;
  readonly running = new Map<string, RunningMember>();
  private readonly founders: GroupConfiguration;

  constructor(private readonly options: ClusterOptions) {
    this.network = options.network ?? new LoopbackNetwork();
    this.founders = {
      members: Array.from({ length: options.size }, (_, index) => founder(`member-${index + 1}`)),
    };
  }

  async startAll(): Promise<void> {
    for (const member of this.founders.members) await this.start(member, true);
  }

  /** Starts a member from its folder; a founder also writes the group's first entry. */
  async start(member: Member, isFounder: boolean): Promise<RunningMember> {
    const folder = this.folderOf(member);
    const fatalErrors: unknown[] = [];
    const onFatal = (error: unknown): void => void fatalErrors.push(error);
    const { quotaBytes } = this.options;
    const disk = new FaultyDisk();
    const wal = await WriteAheadLog.open({
      folder: join(folder, 'log'),
      quotaBytes,
      openFile: disk.openFile,
      onFatal,
    });
    const router = new MethodRouter();
    const host = new GroupHost({
      ownId: member.id,
      wal,
      snapshots: new SnapshotStore(join(folder, 'snapshots')),
      peers: this.network.peersOf(member.address),
      urgentPeers: this.network.peersOf(member.address, ' urgent'),
      options: checkConsensusOptions({ ...FAST_TIMING, ...this.options.consensus }),
      logger: createLogger({ member: member.id }),
      onFatal,
      onLeadershipChange: () => undefined,
    });
    host.registerHandlers(router);
    const machine = this.options.createMachine?.(member) ?? new ListMachine();
    registerGroupService(router, host, {
      prepareCommand: (_group, body) => body,
      answerQuery: () => machine.items,
    });
    if (isFounder) await host.bootstrapGroup(GROUP, this.founders);
    const group = await host.openGroup(GROUP, machine);
    this.network.listen(member.address, router);
    host.start();
    const running = { member, machine, host, group, wal, router, disk, fatalErrors };
    this.running.set(member.id, running);
    return running;
  }

  /** Ends a member without any farewell; its folder stays. */
  async crash(id: string): Promise<Member> {
    const running = this.running.get(id)!;
    this.network.remove(running.member.address);
    running.host.stopNow();
    running.disk.resume();
    await running.wal.close();
    this.running.delete(id);
    return running.member;
  }

  async deleteDisk(member: Member): Promise<void> {
    await rm(this.folderOf(member), { recursive: true, force: true });
  }

  async stopAll(): Promise<void> {
    for (const id of [...this.running.keys()]) await this.crash(id);
  }

  get members(): RunningMember[] {
    return [...this.running.values()];
  }

  /** The member that leads with the highest term. */
  get leader(): RunningMember | undefined {
    return this.members
      .filter(({ group }) => group.isLeader)
      .sort((left, right) => right.group.term - left.group.term)
      .at(0);
  }

  async waitLeader(exceptId?: string): Promise<RunningMember> {
    await waitUntil('a leader', () => {
      const { leader } = this;
      return leader !== undefined && leader.member.id !== exceptId;
    });
    return this.leader!;
  }

  client(name = 'client'): GroupClient {
    const addresses = this.founders.members.map((member) => member.address);
    return new GroupClient({ peers: this.network.peersOf(name), addresses, tryTimeoutMs: 300 });
  }

  /** Asks the leader once to take a member in; returns whether it is a voter now. */
  async join(member: Member): Promise<boolean> {
    try {
      return await this.client().callWithRedirect<JoinRequest, JoinResponse, boolean>(
        GROUP,
        JOIN,
        { group: GROUP, member },
        (response) =>
          response.leads
            ? { response: response.accepted }
            : { leaderAddress: response.leaderAddress, refusal: 'not the leader' },
        { timeoutMs: 1_000 },
      );
    } catch {
      return false;
    }
  }

  private folderOf(member: Member): string {
    return join(this.options.folder, member.name);
  }
}

/** A running cluster of three, or as the options say; it ends with the test. */
export async function startCluster(
  options: Partial<ClusterOptions> = {},
): Promise<ConsensusCluster> {
  const cluster = new ConsensusCluster({ size: 3, folder: temporaryFolder(), ...options });
  onTestFinished(() => cluster.stopAll());
  await cluster.startAll();
  return cluster;
}

function founder(name: string): Member {
  return { id: `${name}-first`, name, address: name, role: 'voter' };
}
