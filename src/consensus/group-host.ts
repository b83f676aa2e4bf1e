/**
 * Hosts all replicated groups of a process. Heartbeats for the same member are sent in one message,
 * and all groups share one link per peer and one write-ahead log.
 */
import { type Logger } from '../observability/index.js';
import { monotonicMs } from '../common/index.js';
import type { SnapshotStore, WriteAheadLog } from '../log-store/index.js';
import type { CallOptions, Method, MethodRouter } from '../wire/index.js';
import { type GroupConfiguration, type Member, isVoter, votersOf } from './configuration.js';
import { WrongMemberError } from './errors.js';
import { MemberLog } from './member-log.js';
import { MembershipChanger } from './membership-changer.js';
import { APPEND, HEARTBEATS, type Heartbeat, JOIN, SNAPSHOT, TRANSFER, VOTE } from './messages.js';
import { type CheckedConsensusOptions } from './options.js';
import type { PeerCaller } from './peer-directory.js';
import type { GroupEnvironment } from './group-environment.js';
import { ReplicatedGroup } from './replicated-group.js';
import type { StateMachine } from './state-machine.js';

export interface GroupHostOptions {
  ownId: string;
  wal: WriteAheadLog;
  snapshots: SnapshotStore;
  peers: PeerCaller;
  /**
   * Separate connections for heartbeats and votes, which would otherwise be delayed by large
   * appends and trigger elections. @default peers
   */
  urgentPeers?: PeerCaller;
  options: CheckedConsensusOptions;
  logger: Logger;
  onFatal: (error: unknown) => void;
  /** Called when a group in this process gains or loses leadership. */
  onLeadershipChange: (group: ReplicatedGroup) => void;
}

/** Heartbeats from groups led by this process to one member. */
interface MemberHeartbeats {
  address: string;
  heartbeats: Heartbeat[];
}

/** Small messages that must not be queued behind entries. */
const URGENT_METHODS: ReadonlySet<string> = new Set([HEARTBEATS.name, VOTE.name, TRANSFER.name]);

/** Timeout of a heartbeat request, after which the link is checked for silence. */
const HEARTBEAT_TIMEOUT_MS = 400;

export class GroupHost {
  private readonly groups = new Map<string, ReplicatedGroup>();
  private readonly environment: GroupEnvironment;
  private readonly membershipChanger = new MembershipChanger();
  private heartbeatsRequested = false;
  private timer: NodeJS.Timeout | undefined;
  private readonly urgentPeers: PeerCaller;

  constructor(private readonly host: GroupHostOptions) {
    this.urgentPeers = host.urgentPeers ?? host.peers;
    this.environment = {
      ownId: host.ownId,
      options: host.options,
      call: (member, method, request, options) => this.call(member, method, request, options),
      isConnected: ({ address }) => this.urgentPeers.isConnected(address),
      requestHeartbeats: () => this.requestHeartbeats(),
      onLeadershipChange: (group) => this.onLeadershipChange(group),
      onSnapshotStored: (group, { index, compactedTo }) =>
        host.logger.info('snapshot stored', { group: group.name, index, compactedTo }),
      onSnapshotSkipped: (group, error) =>
        host.logger.warn('snapshot skipped', { group: group.name, cause: error.describe() }),
      onDeletionSkipped: (group, error) =>
        host.logger.warn('deletion skipped', { group: group.name, cause: error.describe() }),
      onProposalsRefused: (group, count) =>
        host.logger.warn('overloaded, commands refused', { group: group.name, count }),
      onFatal: host.onFatal,
    };
  }

  /**
   * Opens a group from the data folder.
   * @param options of this group, where they differ from those of the process
   */
  async openGroup(
    name: string,
    stateMachine: StateMachine,
    options: Partial<CheckedConsensusOptions> = {},
  ): Promise<ReplicatedGroup> {
    const log = await MemberLog.open(name, this.host.wal, this.host.snapshots);
    const environment = { ...this.environment, options: { ...this.host.options, ...options } };
    const group = new ReplicatedGroup(log, stateMachine, environment);
    this.groups.set(name, group);
    return group;
  }

  /** Initializes the log of a new group. All founding members must use the same configuration. */
  async bootstrapGroup(name: string, configuration: GroupConfiguration): Promise<void> {
    const log = await MemberLog.open(name, this.host.wal, this.host.snapshots);
    if (log.lastIndex === 0) await log.bootstrap(configuration);
  }

  find(name: string): ReplicatedGroup | undefined {
    return this.groups.get(name);
  }

  all(): ReplicatedGroup[] {
    return [...this.groups.values()];
  }

  start(): void {
    this.timer = setInterval(() => this.tick(), this.host.options.heartbeatIntervalMs);
  }

  /** Transfers all leaderships, then stops. */
  async stop(): Promise<void> {
    await Promise.all(this.all().map((group) => group.transferLeadership()));
    this.stopNow();
  }

  stopNow(): void {
    clearInterval(this.timer);
    for (const group of this.all()) group.stop();
  }

  /** Called when a connection opened by a peer has closed. */
  notePeerDisconnected(peerName: string): void {
    for (const group of this.groups.values()) {
      if (group.leaderName !== peerName) continue;
      this.host.logger.info('leader disconnected', { group: group.name, leader: peerName });
      group.noteLeaderDisconnected();
    }
  }

  /** Registers the handlers for messages between members. */
  registerHandlers(router: MethodRouter): void {
    router.handle(VOTE, (request) => this.targetGroup(request).requestHandler.vote(request));
    router.handle(APPEND, async (request) => {
      const group = this.targetGroup(request);
      const receivedAt = monotonicMs();
      const response = await group.requestHandler.append(request);
      group.times.append.record(monotonicMs() - receivedAt);
      return response;
    });
    router.handle(SNAPSHOT, (request) =>
      this.targetGroup(request).requestHandler.snapshot(request),
    );
    router.handle(TRANSFER, (request) =>
      this.targetGroup(request).requestHandler.transfer(request),
    );
    router.handle(HEARTBEATS, ({ heartbeats }) => {
      const own = heartbeats.filter((heartbeat) => heartbeat.to === this.host.ownId);
      const responses = own.map((heartbeat) =>
        this.groups.get(heartbeat.group)?.requestHandler.heartbeat(heartbeat),
      );
      return Promise.all(responses.filter((response) => response !== undefined));
    });
    router.handle(JOIN, async (request) => {
      const group = this.groups.get(request.group);
      if (!group?.isLeader) {
        return { leads: false, leaderAddress: group?.leaderAddress, accepted: false };
      }
      return {
        leads: true,
        accepted: await this.membershipChanger.advanceJoin(group, request.member),
      };
    });
  }

  private targetGroup(message: { group: string; to: string }): ReplicatedGroup {
    const group = this.groups.get(message.group);
    if (!group || message.to !== this.host.ownId) {
      throw new WrongMemberError('message is addressed to another member', {
        step: 'consensus.receive',
        peer: message.to,
      });
    }
    return group;
  }

  private call<Request, Response>(
    member: Member,
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response> {
    const isUrgent = URGENT_METHODS.has(method.name);
    const connections = isUrgent ? this.urgentPeers : this.host.peers;
    return connections.call(member.address, method, request, options);
  }

  private tick(): void {
    for (const group of this.groups.values()) group.tick();
    this.sendHeartbeats(false);
    this.keepVotersConnected();
    for (const name of this.host.wal.groupsHoldingOldSegments()) {
      this.groups.get(name)?.applier.requestSnapshot();
    }
  }

  /**
   * Keeps links to all voters open: an election fails if its connections have yet to be
   * established.
   */
  private keepVotersConnected(): void {
    for (const { configuration } of this.groups.values()) {
      if (!isVoter(configuration, this.host.ownId)) continue;
      for (const { id, address } of votersOf(configuration)) {
        // The check opens a missing link.
        if (id !== this.host.ownId) this.urgentPeers.isConnected(address);
      }
    }
  }

  private requestHeartbeats(): void {
    if (this.heartbeatsRequested) return;
    this.heartbeatsRequested = true;
    setImmediate(() => {
      this.heartbeatsRequested = false;
      this.sendHeartbeats(true);
    });
  }

  /**
   * Batches by member id, not address: a member that lost its disk and its replacement share an
   * address, and a response of the new member must not count for the old one.
   * @param isRequested whether a read waits for the responses
   */
  private sendHeartbeats(isRequested: boolean): void {
    const batches = new Map<string, MemberHeartbeats>();
    for (const group of this.groups.values()) {
      if (!group.isLeader) continue;
      for (const member of group.configuration.members) {
        const heartbeat = group.heartbeatFor(member, isRequested);
        if (!heartbeat) continue;
        const batch = batches.get(member.id);
        if (batch) batch.heartbeats.push(heartbeat);
        else batches.set(member.id, { address: member.address, heartbeats: [heartbeat] });
      }
    }
    for (const { address, heartbeats } of batches.values())
      void this.exchangeHeartbeats(address, heartbeats);
  }

  private async exchangeHeartbeats(address: string, heartbeats: Heartbeat[]): Promise<void> {
    const sentAt = monotonicMs();
    try {
      const options = { timeoutMs: HEARTBEAT_TIMEOUT_MS };
      const responses = await this.urgentPeers.call(address, HEARTBEATS, { heartbeats }, options);
      for (const response of responses) {
        const heartbeat = heartbeats.find((sent) => sent.group === response.group);
        if (!heartbeat) continue;
        this.groups.get(response.group)?.takeHeartbeatResponse(heartbeat.to, response, sentAt);
      }
    } catch {
      // Missing responses are detected by the quorum check.
    }
  }

  private onLeadershipChange(group: ReplicatedGroup): void {
    this.host.logger.info(group.isLeader ? 'leading' : 'stopped leading', {
      group: group.name,
      term: group.term,
    });
    this.host.onLeadershipChange(group);
  }
}
