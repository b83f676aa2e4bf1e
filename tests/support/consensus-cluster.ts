/** A replicated group whose members run in one process and communicate over a network with cuttable links. */
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

/** State machine that stores all applied commands in a list. */
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
  router: MethodRouter;
  /** Disk of its write-ahead log. */
  disk: FaultyDisk;
  fatalErrors: unknown[];
}

export interface ClusterOptions {
  size: number;
  folder: string;
  consensus?: ConsensusOptions;
  quotaBytes?: number;
  /** Creates the state machine of a member. @default a list without external state */
  createMachine?: (member: Member) => ListMachine;
  /** @default a network without delays */
  network?: LoopbackNetwork;
  /** Precedes the names and addresses of the members. @default '' */
  namePrefix?: string;
}

const FAST_TIMING: ConsensusOptions = { heartbeatIntervalMs: 20, electionTimeoutMs: 120 };

export class ConsensusCluster {
  readonly network: LoopbackNetwork;
  readonly running = new Map<string, RunningMember>();
  private readonly founders: GroupConfiguration;

  constructor(private readonly options: ClusterOptions) {
    this.network = options.network ?? new LoopbackNetwork();
    this.founders = {
      members: Array.from({ length: options.size }, (_, index) =>
        createFounder(`${options.namePrefix ?? ''}member-${index + 1}`),
      ),
    };
  }

  async startAll(): Promise<void> {
    for (const member of this.founders.members) await this.start(member, true);
  }

  /** Starts a member with its folder; a founder also bootstraps the group. */
  async start(member: Member, isFounder: boolean): Promise<RunningMember> {
    const folder = this.folderOf(member);
    const fatalErrors: unknown[] = [];
    const onFatal = (error: unknown): void => void fatalErrors.push(error);
    const { quotaBytes } = this.options;
    const { processors } = this.network;
    const disk = new FaultyDisk(() => processors?.chargeSync(member.address));
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

  /** Stops a member abruptly; its folder stays. */
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

  /** The leader with the highest term. */
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

  /** Sends one join request to the leader. @returns whether the member was accepted */
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

/** Starts a cluster of three members, or as given by the options, and stops it after the test. */
export async function startCluster(
  options: Partial<ClusterOptions> = {},
): Promise<ConsensusCluster> {
  const cluster = new ConsensusCluster({ size: 3, folder: temporaryFolder(), ...options });
  onTestFinished(() => cluster.stopAll());
  await cluster.startAll();
  return cluster;
}

function createFounder(name: string): Member {
  return { id: `${name}-first`, name, address: name, role: 'voter' };
}
