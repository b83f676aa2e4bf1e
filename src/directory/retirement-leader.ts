/** Retirement of journal machines, on the directory's leader: it ends once a machine has left all groups of the ledger. */
import { LedgegaugeError, monotonicMs } from '../common/index.js';
import { LEDGER_GROUP } from '../ledger/ledger-groups.js';
import type { Logger } from '../observability/index.js';
import type { DirectoryCommand } from './directory-commands.js';
import type { DirectoryStateMachine, RetirementState } from './directory-state-machine.js';
import type { RetirementResponse } from './messages.js';
import type { NodeRoster } from './node-roster.js';

/** Time after which a new leader's roster includes every running process. */
const ROSTER_COMPLETE_AFTER_MS = 1_200;

/** A retirement request was rejected because the new leader does not have the complete roster yet. */
export class RosterIncompleteError extends LedgegaugeError {}

export interface RetirementLeaderOptions {
  stateMachine: DirectoryStateMachine;
  roster: NodeRoster;
  /** Number of voters of a ledger group, for which journal machines must remain. */
  ledgerVoters: number;
  /** Start of this leader's term (monotonic, milliseconds). */
  leadingSince: () => number;
  propose: (command: DirectoryCommand) => Promise<unknown>;
  logger: Logger;
}

export class RetirementLeader {
  /** Ledger groups that retiring nodes have left, by node, as reported to this leader. */
  private readonly leftGroups = new Map<string, Set<string>>();

  constructor(private readonly options: RetirementLeaderOptions) {}

  /** @throws RosterIncompleteError while this leader does not know all machines */
  async start(node: string): Promise<RetirementResponse> {
    const { stateMachine, roster, ledgerVoters, leadingSince, propose, logger } = this.options;
    if (stateMachine.retirements.has(node)) return 'accepted';
    const known = roster.find(node);
    if (monotonicMs() - leadingSince() < ROSTER_COMPLETE_AFTER_MS) {
      const context = { step: 'directory.start-retirement', peer: node, retriable: true };
      throw new RosterIncompleteError(
        'new leader has not received all node announcements yet',
        context,
      );
    }
    if (known?.role !== 'journal') return 'unknown-node';
    const remaining = roster
      .present('journal')
      .filter((other) => other.name !== node && !stateMachine.retirements.has(other.name));
    if (remaining.length < ledgerVoters) return 'too-few-left';
    await propose({ kind: 'start-retirement', node });
    logger.info('retirement started', { node, remaining: remaining.length });
    return 'accepted';
  }

  /** Records that a node has left a ledger group. Once it has left all of them, it is retired. */
  async noteLeftGroup(node: string, group = LEDGER_GROUP): Promise<void> {
    const { stateMachine, propose, logger } = this.options;
    const left = this.leftGroups.get(node) ?? new Set();
    this.leftGroups.set(node, left.add(group));
    const hasLeftAll = stateMachine.ledgerGroups.every(({ name }) => left.has(name));
    if (!hasLeftAll || this.stateOf(node) === 'complete') return;
    await propose({ kind: 'complete-retirement', node });
    logger.info('retirement complete', { node });
  }

  stateOf(node: string): RetirementState | 'none' {
    return this.options.stateMachine.retirements.get(node) ?? 'none';
  }

  /** Called when the leadership changes: the next leader gets the reports again. */
  clear(): void {
    this.leftGroups.clear();
  }
}
