/** Control process: a member of the directory's consensus group that serves requests to the directory. */
import { discoverCluster, registerProbe } from '../control/cluster-formation.js';
import { Registry } from 'prom-client';
import { GroupClient, type ReplicatedGroup } from '../consensus/index.js';
import {
  DIRECTORY_GROUP,
  DirectoryClient,
  DirectoryLeader,
  registerDirectoryService,
  unpackRoutes,
} from '../directory/index.js';
import type { RequestServer } from '../http/index.js';
import { ProcessMemory } from '../memory-budget/index.js';
import { type Logger, addGauge } from '../observability/index.js';
import { QuotaLeader, type QuotaTolerance } from '../quotas/index.js';
import type { Tenant } from '../routes/index.js';
import { GroupMemberProcess } from './group-member-process.js';
import { CONSENSUS_TIMING, type NodeSettings, voterCountFor } from './node-settings.js';

export interface NodeHooks {
  logger: Logger;
  /** Called when the process must end because its storage or state can no longer be trusted. */
  onFatal: (error: unknown) => void;
}

/** Default tolerance: tenants never exceed their limits. */
const NO_TOLERANCE: QuotaTolerance = { over: 0, slack: 0, windowMs: 5_000 };
const ADDRESS_REFRESH_MS = 500;
/** Time in which orders that senders were about to send on open connections are refused rather than reset. */
const NOTICE_MS = 300;
/** Time reserved for handing over leadership and closing the log before the process is killed. */
const CLOSING_MARGIN_MS = 2_500;

export class ControlNode {
  readonly directory: DirectoryClient;
  readonly memory: ProcessMemory;
  private readonly timer: NodeJS.Timeout;

  private constructor(
    private readonly settings: NodeSettings,
    private readonly hooks: NodeHooks,
    private readonly member: GroupMemberProcess,
    private readonly leader: DirectoryLeader,
    private readonly client: GroupClient,
  ) {
    this.directory = new DirectoryClient(client);
    const { memoryLimitBytes } = settings;
    this.memory = new ProcessMemory({ memoryLimitBytes, logger: hooks.logger });
    this.timer = setInterval(() => this.refreshAddresses(), ADDRESS_REFRESH_MS);
  }

  static async start(settings: NodeSettings, hooks: NodeHooks): Promise<ControlNode> {
    const { logger, onFatal } = hooks;
    const leader: DirectoryLeader = new DirectoryLeader({
      ledgerVoters: voterCountFor(settings.toleratedLosses),
      ledgerGroups: settings.ledgerGroups,
      heartbeatIntervalMs: settings.heartbeatIntervalMs,
      controlAddresses: () => memberAddresses(member),
      crashLimits: settings.crashLimits,
      logger,
    });
    const member: GroupMemberProcess = await GroupMemberProcess.open({
      settings,
      consensus: CONSENSUS_TIMING,
      logQuotaBytes: settings.storageQuotaBytes,
      isRetiring: () => false,
      onLeadershipChange: () => leader.onLeadershipChange(),
      logger,
      onFatal,
    });
    const client = new GroupClient({ peers: member.peers, addresses: settings.controlSeeds });
    const node = new ControlNode(settings, hooks, member, leader, client);
    registerProbe(member.router, member.identity);
    const findGroup = (): ReplicatedGroup | undefined => member.find(DIRECTORY_GROUP);
    registerDirectoryService(member.router, leader, findGroup);
    leader.crashes.register(member.router, findGroup);
    createQuotaLeader(settings, leader, findGroup).register(member.router);
    await member.listen();
    void node.joinCluster().catch(onFatal);
    return node;
  }

  /** Whether this process has joined the directory's group. */
  get isReady(): boolean {
    return this.group !== undefined;
  }

  get leads(): boolean {
    return this.group?.isLeader ?? false;
  }

  /** Term of the directory's group as known to this process; 0 before it has joined. */
  get term(): number {
    return this.group?.term ?? 0;
  }

  private get group(): ReplicatedGroup | undefined {
    return this.member.find(DIRECTORY_GROUP);
  }

  createMetrics(): Registry {
    const registry = this.member.createMetrics();
    const { crashes } = this.leader;
    const add = (name: string, help: string, read: () => number): void =>
      addGauge(registry, `ledgegauge_crash_guard_${name}`, help, read);
    add(
      'suspect_requests',
      'Requests of which ends are counted, at the leader',
      () => crashes.suspectCount,
    );
    add(
      'blocked_requests',
      'Requests that are not sent again, at the leader',
      () => crashes.blockedCount,
    );
    return Registry.merge([registry, this.memory.registry]);
  }

  /** Applies changed seed addresses. */
  updateSeeds(controlSeeds: string[]): void {
    this.settings.controlSeeds = controlSeeds;
    this.refreshAddresses();
  }

  /**
   * Completes the orders under way while this member still works, refuses all others as not taken, and closes the server.
   * @param graceMs time until the process is killed, in milliseconds
   */
  async drain(server: RequestServer, graceMs: number): Promise<void> {
    const timing = { graceMs, noticeMs: NOTICE_MS, closingMs: CLOSING_MARGIN_MS };
    this.hooks.logger.info('drained', { ...(await server.drain(timing)) });
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.memory.stop();
    await this.member.stop();
    this.leader.stop();
  }

  private async joinCluster(): Promise<void> {
    const { identity, peers, signal } = this.member;
    const { settings } = this;
    const { controlSeeds, internalAddress } = settings;
    await discoverCluster({
      ownName: internalAddress,
      members: controlSeeds.map((address) => ({ name: address, address, zone: '', region: '' })),
      identity,
      peers,
      logger: this.hooks.logger,
      signal,
      mayBootstrap: controlSeeds.includes(internalAddress) ? 'first-start' : 'never',
    });
    if (signal.aborted) return;
    if (identity.identity.state === 'founding') {
      await this.member.bootstrap(DIRECTORY_GROUP, { members: identity.identity.founders });
      await identity.save({ ...identity.identity, state: 'member' });
    }
    const { stateMachine } = this.leader;
    await this.member.joinGroups([{ name: DIRECTORY_GROUP, stateMachine, client: this.client }]);
    this.leader.attach(this.group!);
    this.refreshAddresses();
    this.hooks.logger.info('control serving', { member: identity.identity.memberId });
  }

  private refreshAddresses(): void {
    const own = this.settings.internalAddress;
    const known = [...memberAddresses(this.member), ...this.settings.controlSeeds, own];
    this.client.setAddresses([...new Set(known)]);
  }
}

function createQuotaLeader(
  settings: NodeSettings,
  directory: DirectoryLeader,
  findGroup: () => ReplicatedGroup | undefined,
): QuotaLeader {
  const { stateMachine } = directory;
  const options = {
    tolerance: settings.quotaTolerance ?? NO_TOLERANCE,
    limits: () => tenantsOf(directory),
    limitsVersion: () => stateMachine.configurationIndex,
    outstandingShares: () => stateMachine.quotaShares,
    commitShares: (out: { gateways: string[]; tenants: string[] }) =>
      directory.commitQuotaShares(out),
  };
  return new QuotaLeader(options, findGroup);
}

function tenantsOf({ stateMachine }: DirectoryLeader): readonly Tenant[] {
  const { configuration } = stateMachine;
  return configuration ? (unpackRoutes(configuration.routes).tenants ?? []) : [];
}

function memberAddresses(member: GroupMemberProcess): string[] {
  const { configuration } = member.find(DIRECTORY_GROUP) ?? {};
  return configuration?.members.map(({ address }) => address) ?? [];
}
