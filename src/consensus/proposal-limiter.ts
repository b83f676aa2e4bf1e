/**
 * Limits the commands that a leader has in flight. Excess commands wait for a short time and are
 * then rejected. Without a limit, a burst leaves a backlog of abandoned commands that delays all
 * later ones.
 */
import { Deferred, monotonicMs } from '../common/index.js';
import type { CommitTimings } from './commit-timings.js';
import { CommitWindow } from './commit-window.js';
import { GroupOverloadedError } from './errors.js';

/** Maximum bytes of waiting commands: what a link of 100 Mbit/s carries in the longest wait. */
const MAX_WAITING_BYTES = 4 * 1024 * 1024;

/** A command to replicate. */
export interface Proposal {
  command: Uint8Array;
  /**
   * Data written to the local disk with the command; see `LogEntry.attachments`. @default nothing
   */
  attachments?: readonly Uint8Array[];
}

export interface ProposalLimiterOptions {
  group: string;
  /** Target latency from append to commit, in milliseconds. */
  commitTargetMs: number;
  /** Maximum time that a command waits to be appended, in milliseconds. */
  maxWaitMs: number;
  /** Appends a command. Resolves with its result once it is committed and applied. */
  append: (proposal: Proposal) => Promise<unknown>;
  /** Records waiting times and latencies from append to apply, in milliseconds. */
  times: Pick<CommitTimings, 'gate' | 'commit'>;
  /**
   * Called at most once per second while commands are rejected, with the number since the last
   * call.
   */
  onRefused: (count: number) => void;
}

const REFUSAL_REPORT_MS = 1_000;

interface WaitingProposal {
  proposal: Proposal;
  result: Deferred<unknown>;
  since: number;
}

export class ProposalLimiter {
  /** Oldest first. */
  private waiting: WaitingProposal[] = [];
  private waitingBytes = 0;
  private readonly window: CommitWindow;
  private timer: NodeJS.Timeout | undefined;
  private reportedAt = Number.NEGATIVE_INFINITY;
  private reportedRefusals = 0;
  /** Number of commands rejected so far. */
  refused = 0;

  constructor(private readonly options: ProposalLimiterOptions) {
    this.window = new CommitWindow(options.commitTargetMs);
  }

  /** Whether commands are waiting. */
  get hasWaiting(): boolean {
    return this.waiting.length > 0;
  }

  /** Current limit for the bytes of uncommitted commands. */
  get windowBytes(): number {
    return this.window.bytes;
  }

  /**
   * Appends a command immediately, or as soon as the window has room.
   * @throws GroupOverloadedError if there is no room in time; the command was not appended
   */
  submit(proposal: Proposal): Promise<unknown> {
    if (this.waiting.length === 0 && this.window.hasRoom(proposal.command.length)) {
      this.options.times.gate.record(0);
      return this.appendWithinWindow(proposal);
    }
    if (this.waitingBytes + sizeOf(proposal) > MAX_WAITING_BYTES) {
      return Promise.reject(this.overloaded());
    }
    const result = new Deferred<unknown>();
    this.waiting.push({ proposal, result, since: monotonicMs() });
    this.waitingBytes += sizeOf(proposal);
    this.armTimer();
    return result.promise;
  }

  /** Rejects all waiting commands. Commands in flight are not affected. */
  refuseAll(reason: Error): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.waitingBytes = 0;
    for (const { result } of this.waiting.splice(0)) result.reject(reason);
  }

  /** Called when leadership ends. */
  close(reason: Error): void {
    this.refuseAll(reason);
    this.window.clear();
  }

  private appendWithinWindow(proposal: Proposal): Promise<unknown> {
    const { window } = this;
    const bytes = proposal.command.length;
    const appendedAt = monotonicMs();
    const committed = this.options.append(proposal);
    window.take(bytes);
    const onCommitted = (): void => {
      const tookMs = monotonicMs() - appendedAt;
      this.options.times.commit.record(tookMs);
      window.noteCommitted(bytes, tookMs);
      this.admitWaiting();
    };
    committed.then(onCommitted, () => undefined);
    return committed;
  }

  private admitWaiting(): void {
    for (;;) {
      const nextWaiting = this.nextWaiting();
      if (!nextWaiting || !this.window.hasRoom(nextWaiting.proposal.command.length)) return;
      this.remove(nextWaiting);
      this.appendWaiting(nextWaiting);
    }
  }

  private appendWaiting({ proposal, result, since }: WaitingProposal): void {
    this.options.times.gate.record(monotonicMs() - since);
    try {
      this.appendWithinWindow(proposal).then(
        (value) => result.resolve(value),
        (error) => result.reject(error),
      );
    } catch (error) {
      result.reject(error);
    }
  }

  /**
   * The next waiting command: the newest one if the oldest has waited for more than half the limit.
   * Under overload, FIFO order would serve each command just before its caller times out.
   */
  private nextWaiting(): WaitingProposal | undefined {
    const [oldest] = this.waiting;
    if (!oldest) return undefined;
    const isOverloaded = monotonicMs() - oldest.since > this.options.maxWaitMs / 2;
    return isOverloaded ? this.waiting.at(-1) : oldest;
  }

  private remove(waiting: WaitingProposal): void {
    if (this.waiting.at(-1) === waiting) this.waiting.pop();
    else this.waiting.shift();
    this.waitingBytes -= sizeOf(waiting.proposal);
  }

  private armTimer(): void {
    const [oldest] = this.waiting;
    if (!oldest || this.timer) return;
    const dueInMs = Math.max(1, oldest.since + this.options.maxWaitMs - monotonicMs());
    this.timer = setTimeout(() => this.refuseOverdue(), dueInMs);
  }

  private refuseOverdue(): void {
    this.timer = undefined;
    const dueBefore = monotonicMs() - this.options.maxWaitMs;
    for (
      let oldest = this.waiting[0];
      oldest && oldest.since <= dueBefore;
      oldest = this.waiting[0]
    ) {
      this.remove(oldest);
      oldest.result.reject(this.overloaded());
    }
    this.armTimer();
  }

  private overloaded(): GroupOverloadedError {
    this.refused += 1;
    this.reportRefusals();
    return new GroupOverloadedError(this.options.group);
  }

  private reportRefusals(): void {
    const now = monotonicMs();
    if (now - this.reportedAt < REFUSAL_REPORT_MS) return;
    this.reportedAt = now;
    this.options.onRefused(this.refused - this.reportedRefusals);
    this.reportedRefusals = this.refused;
  }
}

function sizeOf({ command, attachments = [] }: Proposal): number {
  return attachments.reduce((sum, { length }) => sum + length, command.length);
}
