/** Journal process: a member of the ledger's consensus group, which it finds through the directory. */
import { join } from 'node:path';
import type { Registry } from 'prom-client';
import { type ConsensusOptions, GroupClient } from '../consensus/index.js';
import { sleep } from '../common/index.js';
import {
  type ClusterView,
  DirectoryClient,
  DirectoryWatcher,
  type NodeAnnouncement,
} from '../directory/index.js';
import { LEDGER_GROUP, LedgerService, LedgerStateMachine, READ_TURNS } from '../ledger/index.js';
import { addGauge } from '../observability/index.js';
import { ValueStore, openStoreFolder } from '../value-store/index.js';
import type { NodeHooks } from './control-node.js';
import { GroupMemberProcess } from './group-member-process.js';
import { type JournalBudget, journalBudget } from './journal-budget.js';
import { MemoryPressureMonitor } from './memory-pressure-monitor.js';
import { CONSENSUS_TIMING, type NodeSettings } from './node-settings.js';

const RETIREMENT_CHECK_MS = 150;
/** Log entries between two snapshots of the ledger. */
const SNAPSHOT_EVERY_ENTRIES = 8_000;
/**
 * Bytes of commands between two snapshots, and bytes of commands retained behind a snapshot. They bound
 * how much of the log is read at the start. A snapshot is small in comparison: it holds some 40 bytes for a kept turn,
 * whose commands have thousands.
 */
const SNAPSHOT_EVERY_BYTES = 4 * 1024 * 1024;
const TRAILING_BYTES = 2 * 1024 * 1024;
/**
 * How long a reservation or settlement may wait for its place in the log. The limit is about the duration
 * of an election; a turn that waits for longer is late in any case.
 */
const MAX_PROPOSAL_WAIT_MS = 300;
/**
 * Timeouts for connecting to another member and for reading values of kept turns from it. A response of
 * 512 KiB takes 0.2 s at 21 Mbit/s.
 */
const READ_TURNS_LIMITS = { connectMs: 500, timeoutMs: 2_000 };

export class JournalNode {
  private readonly watcher: DirectoryWatcher;
  private readonly retiring = new Set<string>();
  private isJoining = false;

  private constructor(
    private readonly settings: NodeSettings,
    private readonly hooks: NodeHooks,
    private readonly member: GroupMemberProcess,
    private readonly directory: DirectoryClient,
    private readonly controlClient: GroupClient,
    private readonly ledgerClient: GroupClient,
    private readonly values: ValueStore,
    private readonly service: LedgerService,
  ) {
    this.watcher = new DirectoryWatcher({
      client: directory,
      announce: () => this.announcement(),
      logger: hooks.logger,
      onCluster: (view) => this.applyClusterView(view),
    });
  }

  static async start(settings: NodeSettings, hooks: NodeHooks): Promise<JournalNode> {
    const { logger, onFatal } = hooks;
    const budget = journalBudget(settings.memoryLimitBytes, settings.storageQuotaBytes);
    const values = await openValues(settings, hooks, budget);
    const stateMachine = new LedgerStateMachine({
      values,
      readTurnsAt: (address, request) =>
        member.peers.callWhenConnected(address, READ_TURNS, request, READ_TURNS_LIMITS),
      logger,
    });
    const isRetiringNode = (name: string): boolean => node.retiring.has(name);
    const member: GroupMemberProcess = await GroupMemberProcess.open({
      settings,
      groupName: LEDGER_GROUP,
      stateMachine,
      consensus: consensusOptions(budget),
      logQuotaBytes: budget.logOnDisk,
      isRetiring: isRetiringNode,
      onLeadershipChange: () => undefined,
      logger,
      onFatal,
    });
    const { peers } = member;
    const controlClient = new GroupClient({ peers, addresses: settings.controlSeeds });
    const ledgerClient = new GroupClient({ peers, addresses: [] });
    const directory = new DirectoryClient(controlClient);
    const memory = new MemoryPressureMonitor(budget.total, logger);
    const service = new LedgerService({
      peers,
      stateMachine,
      findGroup: () => member.group,
      isUnderMemoryPressure: () => memory.isUnderPressure(),
    });
    service.registerHandlers(member.router);
    const node: JournalNode = new JournalNode(
      settings,
      hooks,
      member,
      directory,
      controlClient,
      ledgerClient,
      values,
      service,
    );
    await member.listen();
    node.watcher.start();
    void node.rejoinGroup().catch(onFatal);
    void node.reportRetirements();
    return node;
  }

  /** Whether this process has joined the ledger's group. */
  get isReady(): boolean {
    return this.member.group !== undefined;
  }

  createMetrics(): Registry {
    const registry = this.member.createMetrics();
    const { values } = this;
    const add = (name: string, help: string, read: () => number): void =>
      addGauge(registry, `ledgegauge_kept_turns${name}`, help, read);
    addGauge(
      registry,
      'ledgegauge_recorded_streams',
      'Streams whose software versions are recorded, so that their callers can resume them',
      () => this.service.recordedStreamCount,
    );
    add('', 'Turns whose values are held', () => values.size);
    add('_named', 'Turns that the state names', () => this.service.keptTurnCount);
    add(
      '_awaiting_deletion',
      'Expired turns whose values are deleted once the commit index is durable',
      () => this.service.expiredValueCount,
    );
    add('_disk_bytes', 'Bytes of their segments', () => values.diskBytes.total);
    add('_live_bytes', 'Bytes of those that are still wanted', () => values.diskBytes.live);
    add('_waiting_bytes', 'Bytes that wait to be written', () => values.pendingBytes);
    add('_written_bytes', 'Bytes written so far', () => values.counters.writtenBytes);
    add('_moved_bytes', 'Bytes of them that were moved', () => values.counters.movedBytes);
    add('_damaged', 'Values found damaged', () => values.counters.damaged);
    const { sentBytes, withoutRoom } = this.service;
    add('_refused_without_room', 'Turns refused before they ran', () => withoutRoom.refused);
    add('_lost_without_room', 'Turns answered and not kept', () => withoutRoom.notKept);
    add('_sent_history_bytes', 'Bytes sent with reservations', () => sentBytes.histories);
    add('_sent_turn_bytes', 'Bytes sent to readers of turns', () => sentBytes.turns);
    return registry;
  }

  updateSeeds(controlSeeds: string[]): void {
    this.settings.controlSeeds = controlSeeds;
    this.controlClient.setAddresses(controlSeeds);
  }

  async stop(): Promise<void> {
    this.watcher.stop();
    await this.member.stop();
    await this.values.close();
  }

  private announcement(): NodeAnnouncement {
    const { name, zone, internalAddress: address } = this.settings;
    const { memberId } = this.member.identity.identity;
    return { name, role: 'journal', memberId, address, zone };
  }

  private applyClusterView(view: ClusterView): void {
    const seeds = this.settings.controlSeeds;
    this.controlClient.setAddresses([...new Set([...view.controlAddresses, ...seeds])]);
    this.ledgerClient.setAddresses(view.ledgerAddresses);
    this.retiring.clear();
    for (const [name] of view.retirements) this.retiring.add(name);
    if (view.ledgerFounders.length === 0 || this.isJoining) return;
    this.isJoining = true;
    void this.joinGroup(view).catch(this.hooks.onFatal);
  }

  /** A restarted member knows its group from local storage and does not wait for the directory. */
  private async rejoinGroup(): Promise<void> {
    const { state, founders } = this.member.identity.identity;
    if (state === 'new' || this.isJoining) return;
    this.isJoining = true;
    this.ledgerClient.setAddresses(founders.map(({ address }) => address));
    await this.member.joinGroup(this.ledgerClient);
    this.hooks.logger.info('journal serving again', {});
  }

  private async joinGroup(view: ClusterView): Promise<void> {
    const { identity } = this.member;
    const { memberId, state } = identity.identity;
    const founders = view.ledgerFounders;
    const isFounder = founders.some((founder) => founder.id === memberId);
    if (isFounder && state !== 'member') {
      await this.member.bootstrap({ members: founders });
      await identity.save({ memberId, state: 'member', founders });
    }
    if (!isFounder && state === 'new') {
      await identity.save({ memberId, state: 'joining', founders });
    }
    await this.member.joinGroup(this.ledgerClient);
    this.hooks.logger.info('journal serving', { member: memberId, isFounder });
  }

  /** While this member leads: reports to the directory which nodes the group has removed. */
  private async reportRetirements(): Promise<void> {
    const { signal } = this.member;
    const reported = new Set<string>();
    while (!signal.aborted) {
      await sleep(RETIREMENT_CHECK_MS, signal);
      for (const name of this.retiring) {
        if (reported.has(name) || !this.member.keeper?.isSafeToRemove(name)) continue;
        try {
          await this.directory.completeRetirement(name);
          reported.add(name);
        } catch {
          // Retried in the next round.
        }
      }
    }
  }
}

async function openValues(
  settings: NodeSettings,
  { logger, onFatal }: NodeHooks,
  budget: JournalBudget,
): Promise<ValueStore> {
  return ValueStore.open({
    folder: await openStoreFolder(join(settings.dataFolder!, 'turns')),
    logger,
    onFatal,
    quotaBytes: budget.valuesOnDisk,
    cacheBytes: budget.cachedValues,
    maxPendingBytes: budget.pendingValues,
  });
}

function consensusOptions(budget: JournalBudget): ConsensusOptions {
  return {
    ...CONSENSUS_TIMING,
    snapshotEveryEntries: SNAPSHOT_EVERY_ENTRIES,
    snapshotEveryBytes: SNAPSHOT_EVERY_BYTES,
    trailingBytes: TRAILING_BYTES,
    maxHeldBytes: budget.heldEntries,
    maxProposalWaitMs: MAX_PROPOSAL_WAIT_MS,
  };
}
