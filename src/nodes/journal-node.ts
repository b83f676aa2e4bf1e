/** Journal process: a member of the ledger's consensus groups, which it finds through the directory. */
import { join } from 'node:path';
import type { Registry } from 'prom-client';
import { type ConsensusOptions, GroupClient } from '../consensus/index.js';
import { sleep } from '../common/index.js';
import type { Identity } from '../control/identity.js';
import {
  type ClusterView,
  DirectoryClient,
  DirectoryWatcher,
  type NodeAnnouncement,
  type RetirementState,
  ledgerGroupsOf,
} from '../directory/index.js';
import { LEDGER_GROUP, type LedgerGroupFounders, type LedgerService } from '../ledger/index.js';
import { addGauge } from '../observability/index.js';
import { ValueStore, openStoreFolder } from '../value-store/index.js';
import type { NodeHooks } from './control-node.js';
import { GroupMemberProcess } from './group-member-process.js';
import { type JournalBudget, journalBudget } from './journal-budget.js';
import { JournalLedgers } from './journal-ledgers.js';
import { MemoryPressureMonitor } from './memory-pressure-monitor.js';
import { CONSENSUS_TIMING, type NodeSettings } from './node-settings.js';

const RETIREMENT_CHECK_MS = 150;
/**
 * How long a reservation or settlement may wait for its place in the log. The limit is about the duration
 * of an election; a turn that waits for longer is late in any case.
 */
const MAX_PROPOSAL_WAIT_MS = 300;
export class JournalNode {
  private readonly watcher: DirectoryWatcher;
  private readonly retirements = new Map<string, RetirementState>();
  private isJoining = false;

  private constructor(
    private readonly settings: NodeSettings,
    private readonly hooks: NodeHooks,
    private readonly member: GroupMemberProcess,
    private readonly directory: DirectoryClient,
    private readonly controlClient: GroupClient,
    private readonly ledgerClient: GroupClient,
    private readonly values: ValueStore,
    private readonly ledgers: JournalLedgers,
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
    const isRetiringNode = (name: string): boolean => node.retirements.has(name);
    const member: GroupMemberProcess = await GroupMemberProcess.open({
      settings,
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
    const ledgers = new JournalLedgers({
      member,
      client: ledgerClient,
      values,
      isUnderMemoryPressure: () => memory.isUnderPressure(),
      logger,
    });
    const node: JournalNode = new JournalNode(
      settings,
      hooks,
      member,
      directory,
      controlClient,
      ledgerClient,
      values,
      ledgers,
    );
    await member.listen();
    node.watcher.start();
    void node.rejoinGroups().catch(onFatal);
    void node.reportRetirements();
    return node;
  }

  /** Whether this process has joined the ledger's groups. */
  get isReady(): boolean {
    return this.member.groups.length > 0;
  }

  createMetrics(): Registry {
    const registry = this.member.createMetrics();
    const { values } = this;
    const sum = (read: (service: LedgerService) => number): (() => number) => {
      return () => this.ledgers.services.reduce((total, service) => total + read(service), 0);
    };
    const add = (name: string, help: string, read: () => number): void =>
      addGauge(registry, `ledgegauge_kept_turns${name}`, help, read);
    addGauge(
      registry,
      'ledgegauge_recorded_streams',
      'Streams whose software versions are recorded, so that their callers can resume them',
      sum((service) => service.recordedStreamCount),
    );
    add('', 'Turns whose values are held', () => values.size);
    add(
      '_named',
      'Turns that the state names',
      sum((service) => service.keptTurnCount),
    );
    add(
      '_awaiting_deletion',
      'Expired turns whose values are deleted once the commit index is durable',
      sum((service) => service.expiredValueCount),
    );
    add('_disk_bytes', 'Bytes of their segments', () => values.diskBytes.total);
    add('_live_bytes', 'Bytes of those that are still wanted', () => values.diskBytes.live);
    add('_waiting_bytes', 'Bytes that wait to be written', () => values.pendingBytes);
    add('_written_bytes', 'Bytes written so far', () => values.counters.writtenBytes);
    add('_moved_bytes', 'Bytes of them that were moved', () => values.counters.movedBytes);
    add('_damaged', 'Values found damaged', () => values.counters.damaged);
    const addSum = (name: string, help: string, read: (service: LedgerService) => number): void =>
      add(name, help, sum(read));
    addSum(
      '_refused_without_room',
      'Turns refused before they ran',
      ({ withoutRoom }) => withoutRoom.refused,
    );
    addSum(
      '_lost_without_room',
      'Turns answered and not kept',
      ({ withoutRoom }) => withoutRoom.notKept,
    );
    addSum(
      '_sent_history_bytes',
      'Bytes sent with reservations',
      ({ sentBytes }) => sentBytes.histories,
    );
    addSum(
      '_sent_turn_bytes',
      'Bytes sent to readers of turns',
      ({ sentBytes }) => sentBytes.turns,
    );
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
    this.retirements.clear();
    for (const [name, state] of view.retirements) this.retirements.set(name, state);
    const groups = ledgerGroupsOf(view);
    if (groups.length === 0 || this.isJoining) return;
    this.isJoining = true;
    void this.joinGroups(groups).catch(this.hooks.onFatal);
  }

  /** A restarted member knows its groups from local storage and does not wait for the directory. */
  private async rejoinGroups(): Promise<void> {
    const { state, founders, groups = [LEDGER_GROUP] } = this.member.identity.identity;
    if (state === 'new' || this.isJoining) return;
    this.isJoining = true;
    this.ledgerClient.setAddresses(founders.map(({ address }) => address));
    await this.member.joinGroups(this.ledgers.open(groups));
    this.hooks.logger.info('journal serving again', {});
  }

  private async joinGroups(groups: readonly LedgerGroupFounders[]): Promise<void> {
    const { identity } = this.member;
    const { memberId, state } = identity.identity;
    const founded = groups.filter(({ founders }) => founders.some(({ id }) => id === memberId));
    if (state === 'new') {
      for (const { name, founders } of founded)
        await this.member.bootstrap(name, { members: founders });
      await identity.save(identityOf(memberId, groups, founded));
    }
    const names = groups.map(({ name }) => name);
    await this.member.joinGroups(this.ledgers.open(names));
    const foundedGroups = founded.map(({ name }) => name).join(',');
    this.hooks.logger.info('journal serving', { member: memberId, foundedGroups });
  }

  /** While this member leads a group: reports to the directory which nodes the group has removed. */
  private async reportRetirements(): Promise<void> {
    const { signal } = this.member;
    while (!signal.aborted) {
      await sleep(RETIREMENT_CHECK_MS, signal);
      for (const [machine, state] of this.retirements) {
        if (state !== 'complete') await this.reportRetirement(machine);
      }
    }
  }

  /** Repeated until the retirement is complete: a new leader of the directory knows no reports. */
  private async reportRetirement(machine: string): Promise<void> {
    for (const { name } of this.member.groups) {
      if (!this.member.isSafeToRemove(name, machine)) continue;
      // A failed report is sent again in the next round.
      await this.directory.reportLeftGroup(machine, name).catch(() => undefined);
    }
  }
}

/** The identity of a process that takes part in these groups and has written the first entries of some of them. */
function identityOf(
  memberId: string,
  groups: readonly LedgerGroupFounders[],
  founded: readonly LedgerGroupFounders[],
): Identity {
  const byId = new Map(
    groups.flatMap(({ founders }) => founders.map((founder) => [founder.id, founder])),
  );
  return {
    memberId,
    state: founded.length > 0 ? 'member' : 'joining',
    founders: [...byId.values()],
    groups: groups.map(({ name }) => name),
    foundedGroups: founded.map(({ name }) => name),
  };
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
    maxHeldBytes: budget.heldEntries,
    maxProposalWaitMs: MAX_PROPOSAL_WAIT_MS,
  };
}
