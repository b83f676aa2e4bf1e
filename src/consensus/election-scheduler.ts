/** Decides when a member of a group stands for election. */
import { isVoter, startupRank } from './configuration.js';
import { runElection } from './election.js';
import { ElectionPacing } from './election-pacing.js';
import { ElectionTimer } from './election-timer.js';
import type { GroupEnvironment } from './group-environment.js';
import type { ReplicatedGroup } from './replicated-group.js';

export class ElectionScheduler {
  readonly pacing = new ElectionPacing();
  private readonly timer = new ElectionTimer(() => this.onDue());
  /** Whether a leader has contacted this member since the process started. */
  private hasSeenLeader = false;
  /** Whether this member, as a candidate, waits for votes. */
  private isVoting = false;

  constructor(
    private readonly group: ReplicatedGroup,
    private readonly environment: GroupEnvironment,
  ) {
    this.setFirstDeadline();
  }

  /** The election timeout in force, in milliseconds: the configured one, or a longer one that the latency requires. */
  get timeoutMs(): number {
    return this.pacing.timeoutMs(this.environment.options.electionTimeoutMs);
  }

  /** Starts an election. `isTransfer` is set if the leader requested it. */
  start(isTransfer: boolean): void {
    void runElection(this.group, this.environment, isTransfer).catch((error) =>
      this.environment.onFatal(error),
    );
  }

  /** Postpones the next election by an election timeout. */
  postpone(): void {
    const { electionTimeoutMs } = this.environment.options;
    this.timer.setIn(this.pacing.electionDelayMs(electionTimeoutMs));
  }

  /**
   * Records a message of the leader.
   * @param silentMs time since its message before, in milliseconds; 0 for the first, infinite if that one was forgotten
   */
  noteLeader(silentMs: number): void {
    this.hasSeenLeader = true;
    this.pacing.noteLeader();
    if (Number.isFinite(silentMs)) this.pacing.noteSilence(silentMs);
    this.postpone();
  }

  /** The leader may have failed, or may reconnect. */
  noteLeaderDisconnected(): void {
    const { disconnectTimeoutMs } = this.environment.options;
    this.timer.bringForwardTo(disconnectTimeoutMs * (1 + Math.random()));
  }

  /** Runs the voting part of an election, during which no other one starts. */
  async whileVoting<Result>(vote: () => Promise<Result>): Promise<Result> {
    this.isVoting = true;
    try {
      return await vote();
    } finally {
      this.isVoting = false;
    }
  }

  stop(): void {
    this.timer.stop();
  }

  private onDue(): void {
    const { group } = this;
    if (group.isStopped || group.isLeader) return;
    if (this.hasSeenLeader) this.postpone();
    else this.setFirstDeadline();
    // A new election would give up the one whose votes are still on their way.
    if (!this.isVoting && isVoter(group.configuration, group.ownId)) this.start(false);
  }

  /**
   * First elections are staggered by whole timeouts, which spreads the leaders of different groups.
   * A failed one is repeated soon, since other members may not have started yet.
   */
  private setFirstDeadline(): void {
    const { configuration, ownId, name } = this.group;
    const { startupElectionTimeoutMs } = this.environment.options;
    const rank = startupRank(configuration, ownId, name);
    this.timer.setIn(this.pacing.electionDelayMs(startupElectionTimeoutMs, rank));
  }
}
