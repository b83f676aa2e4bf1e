/** Several ledger groups on the same machines, whose processors they share. */
import type { ConsensusOptions } from '../../src/consensus/index.js';
import { LedgerRouter, ledgerGroupName } from '../../src/ledger/index.js';
import { LedgerCluster } from './ledger-cluster.js';
import { LoopbackNetwork } from './loopback-network.js';
import { MeteredProcessors } from './metered-processors.js';

export interface LedgerGroupsOptions {
  groups: number;
  /** Voters of each group, which is the number of machines. */
  voters: number;
  /** Processor time of one message and of one sync, in milliseconds. */
  messageMs: number;
  syncMs: number;
  /** One-way delay of each message, in milliseconds. */
  delayMs: number;
  consensus: ConsensusOptions;
}

const MEMBER_ADDRESS = /^group-(\d+)-member-(\d+)$/;

export class LedgerGroupsCluster {
  private constructor(private readonly clusters: readonly LedgerCluster[]) {}

  static async start(options: LedgerGroupsOptions): Promise<LedgerGroupsCluster> {
    const { groups, voters, messageMs, syncMs, delayMs, consensus } = options;
    // The first member of each group, which leads it, is on another machine.
    const machineOf = (address: string): string => {
      const [, group, member] = MEMBER_ADDRESS.exec(address) ?? [];
      return group === undefined ? address : `machine-${(Number(group) + Number(member)) % voters}`;
    };
    const isMetered = (machine: string): boolean => machine.startsWith('machine-');
    const processors = new MeteredProcessors({ messageMs, syncMs, isMetered, machineOf });
    const network = new LoopbackNetwork(() => delayMs, undefined, processors);
    const clusters = Array.from({ length: groups }, (_, index) =>
      LedgerCluster.start({ voters, consensus, network, namePrefix: `group-${index}-` }),
    );
    return new LedgerGroupsCluster(await Promise.all(clusters));
  }

  /** Creates the ledger of a gateway. */
  createClient(name: string): LedgerRouter {
    const names = this.clusters.map((_, index) => ledgerGroupName(index));
    const router = new LedgerRouter((group) =>
      this.clusters[names.indexOf(group)]!.createClient(name, group),
    );
    router.setGroups(names);
    return router;
  }
}
