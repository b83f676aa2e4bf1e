/** The ledger groups of a journal process: state, service and values of each, in one value store. */
import type { GroupClient, ReplicatedGroup } from '../consensus/index.js';
import {
  GroupValueStore,
  LEDGER_GROUP,
  LedgerService,
  LedgerStateMachine,
  READ_TURNS,
  registerLedgerHandlers,
} from '../ledger/index.js';
import type { Logger } from '../observability/index.js';
import type { ValueStore } from '../value-store/index.js';
import type { GroupMemberProcess, JoinedGroup } from './group-member-process.js';

/**
 * Timeouts for connecting to another member and for reading values of kept turns from it. A response of
 * 512 KiB takes 0.2 s at 21 Mbit/s.
 */
const READ_TURNS_LIMITS = { connectMs: 500, timeoutMs: 2_000 };
/** Log entries between two snapshots of all groups together. */
const SNAPSHOT_EVERY_ENTRIES = 8_000;
/**
 * Bytes of commands between two snapshots, and bytes of commands retained behind a snapshot, of all groups together. They
 * bound how much of the log is read at the start. A snapshot is small in comparison: it holds some 40 bytes for a kept
 * turn, whose commands have thousands.
 */
const SNAPSHOT_EVERY_BYTES = 4 * 1024 * 1024;
const TRAILING_BYTES = 2 * 1024 * 1024;

interface JournalLedger {
  stateMachine: LedgerStateMachine;
  service: LedgerService;
}

export interface JournalLedgersOptions {
  member: GroupMemberProcess;
  /** Finds the leaders of all ledger groups. */
  client: GroupClient;
  values: ValueStore;
  isUnderMemoryPressure: () => boolean;
  logger: Logger;
}

export class JournalLedgers {
  private readonly ledgers = new Map<string, JournalLedger>();

  constructor(private readonly options: JournalLedgersOptions) {
    const { router } = options.member;
    registerLedgerHandlers(router, (group = LEDGER_GROUP) => this.ledgers.get(group)?.service);
  }

  get services(): LedgerService[] {
    return [...this.ledgers.values()].map(({ service }) => service);
  }

  /** Opens the state of these groups, which are all groups of the ledger, to join them. */
  open(names: readonly string[]): JoinedGroup[] {
    const consensus = {
      snapshotEveryEntries: Math.ceil(SNAPSHOT_EVERY_ENTRIES / names.length),
      snapshotEveryBytes: Math.ceil(SNAPSHOT_EVERY_BYTES / names.length),
      trailingBytes: Math.ceil(TRAILING_BYTES / names.length),
    };
    return names.map((name) => {
      const { stateMachine } = this.create(name);
      return { name, stateMachine, client: this.options.client, consensus };
    });
  }

  private create(name: string): JournalLedger {
    const { member, values, logger, isUnderMemoryPressure } = this.options;
    const stateMachine = new LedgerStateMachine({
      values: new GroupValueStore(values, name),
      readTurnsAt: (address, request) =>
        member.peers.callWhenConnected(
          address,
          READ_TURNS,
          { ...request, group: name },
          READ_TURNS_LIMITS,
        ),
      logger,
    });
    const service = new LedgerService({
      groupName: name,
      peers: member.peers,
      stateMachine,
      findGroup: (): ReplicatedGroup | undefined => member.find(name),
      isUnderMemoryPressure,
    });
    const ledger = { stateMachine, service };
    this.ledgers.set(name, ledger);
    return ledger;
  }
}
