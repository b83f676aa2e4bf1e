/** Members of a replicated ledger over a stand-in network, for tests of what is read of kept turns. */
import {
  HistoryReader,
  LedgerService,
  LedgerStateMachine,
  type Settlement,
} from '../../src/ledger/index.js';
import { createLogger } from '../../src/observability/index.js';
import {
  type ConsensusCluster,
  ListMachine,
  type RunningMember,
  startCluster,
} from './consensus-cluster.js';
import { MemoryValues } from './memory-values.js';
import { waitUntil } from './wait-until.js';

const INPUT = Buffer.alloc(17_000, 'i');
const OUTPUT = Buffer.from('data: o\n');
const RETENTION_MS = 60_000;

export const ledgerTestLogger = createLogger({ test: 'histories' });

/** Settling it keeps the turn `turn-1`. */
export const KEPT_TURN: Settlement = {
  program: 'p',
  attempt: 'turn-1',
  spentTokens: 1,
  keep: { input: INPUT, output: OUTPUT, retentionMs: RETENTION_MS },
};
/** What a turn after `turn-1` continues from. */
export const KEPT_HISTORY = Buffer.concat([INPUT, OUTPUT]);

/** A ledger in place of the cluster's list. */
class LedgerMachine extends ListMachine {
  readonly values = new MemoryValues();
  readonly state = new LedgerStateMachine({
    values: this.values,
    readTurnsAt: () => Promise.reject(new Error('no other members')),
    logger: ledgerTestLogger,
  });

  override apply(command: Uint8Array, index = 0): unknown {
    return this.state.apply(command, index);
  }

  override snapshot(): Iterable<Uint8Array> {
    return this.state.snapshot();
  }

  override restore(state: Uint8Array): void {
    this.state.restore(state);
  }
}

interface LedgerMember {
  running: RunningMember;
  machine: LedgerMachine;
  service: LedgerService;
}

export class LedgerCluster {
  private constructor(
    readonly cluster: ConsensusCluster,
    private readonly members: readonly LedgerMember[],
  ) {}

  static async start(): Promise<LedgerCluster> {
    const cluster = await startCluster({ createMachine: () => new LedgerMachine() });
    await cluster.waitLeader();
    return new LedgerCluster(cluster, cluster.members.map(serveLedger));
  }

  get addresses(): string[] {
    return this.cluster.members.map(({ member }) => member.address);
  }

  /** Reads histories as a gateway does. */
  createReader(): HistoryReader {
    const peers = this.cluster.network.peersOf('gateway');
    return new HistoryReader({ callWhenConnected: peers.call }, ledgerTestLogger);
  }

  /** Bytes of histories that the leader has sent, or all others together. */
  sentBy(isLeader: boolean): number {
    return this.members
      .filter(({ running }) => running.group.isLeader === isLeader)
      .reduce((sum, { service }) => sum + service.sentBytes.histories, 0);
  }

  /** Followers know of the kept turn, but can't give it. */
  async loseAtFollowers(): Promise<void> {
    for (const { running, machine } of this.members) {
      if (running.group.isLeader) continue;
      await waitUntil('kept', () => machine.values.has(KEPT_TURN.attempt));
      machine.values.delete(KEPT_TURN.attempt);
    }
  }
}

function serveLedger(running: RunningMember): LedgerMember {
  const machine = running.machine as LedgerMachine;
  const { state: stateMachine } = machine;
  const findGroup = () => running.group;
  const service = new LedgerService({ stateMachine, findGroup, mustRefuse: () => false });
  service.registerHandlers(running.router);
  return { running, machine, service };
}
