/**
 * Tasks of a journal group's leader: assigns journal time to commands, notifies waiters for calls,
 * proposes sweeps, and delivers releases of backend memory until they are confirmed.
 */
import { monotonicMs, SignalEvent } from '../common/index.js';
import { NotLeaderError, type ReplicatedGroup } from '../consensus/index.js';
import { decodeValue, encodeValue } from '../wire/index.js';
import type { CallResponse, JournalCommand, JournalQuery, TimestampedCommand } from './commands.js';
import { JournalStateMachine } from './journal-state-machine.js';
import { needsSweep } from './lifecycle.js';
import type { AwaitSettledRequest } from './messages.js';
import { answerJournalQuery } from './queries.js';
import { ReleaseDelivery, type ReleaseSender } from './release-delivery.js';

const SWEEP_INTERVAL_MS = 1_000;

export class JournalLeader {
  readonly stateMachine: JournalStateMachine;
  private group!: ReplicatedGroup;
  private readonly changed = new SignalEvent();
  private clockBase = { journalMs: 0, monotonicMs: 0 };
  private sweepTimer: NodeJS.Timeout | undefined;
  private delivery: ReleaseDelivery | undefined;

  constructor(private readonly sendRelease: ReleaseSender) {
    this.stateMachine = new JournalStateMachine((command) => this.onApplied(command));
  }

  attach(group: ReplicatedGroup): void {
    this.group = group;
  }

  /** Starts or stops the leader's tasks. */
  onLeadershipChange(): void {
    this.stop();
    if (!this.group.isLeader) return;
    this.clockBase = { journalMs: this.stateMachine.state.clockMs, monotonicMs: monotonicMs() };
    this.sweepTimer = setInterval(() => this.sweep(), SWEEP_INTERVAL_MS);
    this.delivery = new ReleaseDelivery({
      group: this.group,
      state: this.stateMachine.state,
      send: this.sendRelease,
      stamp: (command) => this.stamp(command),
    });
    this.delivery.start();
  }

  stop(): void {
    clearInterval(this.sweepTimer);
    this.delivery?.stop();
    this.delivery = undefined;
    this.changed.notify();
  }

  /** Adds the journal time to a command from a gateway. */
  prepareCommand(body: Uint8Array): Uint8Array {
    return this.stamp(decodeValue<JournalCommand>(body));
  }

  answerQuery(body: Uint8Array): unknown {
    return answerJournalQuery(this.stateMachine.state, decodeValue<JournalQuery>(body));
  }

  /** @throws NotLeaderError when this member is not the leader or loses leadership */
  async awaitSettled(request: AwaitSettledRequest): Promise<CallResponse> {
    await this.group.confirmLeadership();
    const deadline = monotonicMs() + request.waitMs;
    const { programId, tenant, sequence } = request;
    for (;;) {
      const query: JournalQuery = { type: 'call', programId, tenant, sequence };
      const answer = answerJournalQuery(this.stateMachine.state, query) as CallResponse;
      const remaining = deadline - monotonicMs();
      if (answer.status !== 'running' || remaining <= 0) return answer;
      await this.changed.waitWithTimeout(remaining);
      if (!this.group.isLeader) throw new NotLeaderError(this.group.name, undefined);
    }
  }

  private stamp(command: JournalCommand): Uint8Array {
    const elapsed = monotonicMs() - this.clockBase.monotonicMs;
    const atMs = Math.round(this.clockBase.journalMs + elapsed);
    return encodeValue({ atMs, command } satisfies TimestampedCommand);
  }

  private sweep(): void {
    const elapsed = monotonicMs() - this.clockBase.monotonicMs;
    if (!needsSweep(this.stateMachine.state, this.clockBase.journalMs + elapsed)) return;
    void this.group.propose(this.stamp({ type: 'sweep' })).catch(() => undefined);
  }

  private onApplied(command: JournalCommand): void {
    const mayRelease = command.type === 'end' || command.type === 'sweep';
    if (mayRelease) this.delivery?.notify();
    this.changed.notify();
  }
}
