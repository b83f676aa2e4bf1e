/** The journal process: a member of the ledger's group, guided by the directory. */
import type { Registry } from 'prom-client';
import { GroupClient } from '../consensus/index.js';
import { sleep } from '../common/index.js';
import {
  type ClusterView,
  DirectoryClient,
  DirectoryWatcher,
  type NodeAnnouncement,
} from '../directory/index.js';
import { LEDGER_GROUP, LedgerService, LedgerStateMachine } from '../ledger/index.js';
import type { NodeHooks } from './control-node.js';
import { GroupMemberProcess } from './group-member-process.js';
import { GROUP_TIMING, type NodeSettings } from './node-settings.js';

const RETIREMENT_CHECK_MS = 150;
/** Entries between two snapshots of the ledger. */
const SNAPSHOT_EVERY_ENTRIES = 8_000;

export class JournalNode {
  private readonly watcher: DirectoryWatcher;
  private readonly retiring = new Set<string>();
  private isEntering = false;

  private constructor(
    private readonly settings: NodeSettings,
    private readonly hooks: NodeHooks,
    private readonly member: GroupMemberProcess,
    private readonly directory: DirectoryClient,
    private readonly controlClient: GroupClient,
    private readonly ledgerClient: GroupClient,
  ) {
    this.watcher = new DirectoryWatcher({
      client: directory,
      announce: () => this.announcement(),
      logger: hooks.logger,
      onCluster: (view) => this.takeCluster(view),
    });
  }

  static async start(settings: NodeSettings, hooks: NodeHooks): Promise<JournalNode> {
    const { logger, onFatal } = hooks;
    const stateMachine = new LedgerStateMachine();
    const retiringNames = (name: string): boolean => node.retiring.has(name);
    const member = await GroupMemberProcess.open({
      settings,
      groupName: LEDGER_GROUP,
      stateMachine,
      consensus: { ...GROUP_TIMING, snapshotEveryEntries: SNAPSHOT_EVERY_ENTRIES },
      isRetiring: retiringNames,
      onLeadershipChange: () => undefined,
      logger,
      onFatal,
    });
    const { peers } = member;
    const controlClient = new GroupClient({ peers, addresses: settings.controlSeeds });
    const ledgerClient = new GroupClient({ peers, addresses: [] });
    const directory = new DirectoryClient(controlClient);
    const node: JournalNode = new JournalNode(
      settings,
      hooks,
      member,
      directory,
      controlClient,
      ledgerClient,
    );
    new LedgerService(stateMachine, () => member.group).registerHandlers(member.router);
    await member.listen();
    node.watcher.start();
    void node.enterKnownGroup().catch(onFatal);
    void node.reportRetirements();
    return node;
  }

  /** Whether this process takes part in the ledger's group. */
  get isReady(): boolean {
    return this.member.group !== undefined;
  }

  createMetrics(): Registry {
    return this.member.createMetrics();
  }

  updateSeeds(controlSeeds: string[]): void {
    this.settings.controlSeeds = controlSeeds;
    this.controlClient.setAddresses(controlSeeds);
  }

  async stop(): Promise<void> {
    this.watcher.stop();
    await this.member.stop();
  }

  private announcement(): NodeAnnouncement {
    const { name, zone, internalAddress: address } = this.settings;
    const { memberId } = this.member.identity.identity;
    return { name, role: 'journal', memberId, address, zone };
  }

  private takeCluster(view: ClusterView): void {
    const seeds = this.settings.controlSeeds;
    this.controlClient.setAddresses([...new Set([...view.controlAddresses, ...seeds])]);
    this.ledgerClient.setAddresses(view.ledgerAddresses);
    this.retiring.clear();
    for (const [name] of view.retirements) this.retiring.add(name);
    if (view.ledgerFounders.length === 0 || this.isEntering) return;
    this.isEntering = true;
    void this.enterGroup(view).catch(this.hooks.onFatal);
  }

  /** A member that comes back knows its group from its disk and waits for nobody. */
  private async enterKnownGroup(): Promise<void> {
    const { state, founders } = this.member.identity.identity;
    if (state === 'new' || this.isEntering) return;
    this.isEntering = true;
    this.ledgerClient.setAddresses(founders.map(({ address }) => address));
    await this.member.enter(this.ledgerClient);
    this.hooks.logger.info('journal serving again', {});
  }

  private async enterGroup(view: ClusterView): Promise<void> {
    const { identity } = this.member;
    const { memberId, state } = identity.identity;
    const founders = view.ledgerFounders;
    const isFounder = founders.some((founder) => founder.id === memberId);
    if (isFounder && state !== 'member') {
      await this.member.found({ members: founders });
      await identity.save({ memberId, state: 'member', founders });
    }
    if (!isFounder && state === 'new') {
      await identity.save({ memberId, state: 'joining', founders });
    }
    await this.member.enter(this.ledgerClient);
    this.hooks.logger.info('journal serving', { member: memberId, isFounder });
  }

  /** While this member leads: tells the directory which machines the group has let go. */
  private async reportRetirements(): Promise<void> {
    const { signal } = this.member;
    const reported = new Set<string>();
    while (!signal.aborted) {
      await sleep(RETIREMENT_CHECK_MS, signal);
      for (const name of this.retiring) {
        if (reported.has(name) || !this.member.keeper?.isFreeOf(name)) continue;
        try {
          await this.directory.completeRetirement(name);
          reported.add(name);
        } catch {
          // Reported again in the next round.
        }
      }
    }
  }
}
