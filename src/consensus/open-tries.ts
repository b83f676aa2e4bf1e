/** Pending attempts of one call: the members that have been asked and have not responded yet. */
import { describeError, monotonicMs } from '../common/index.js';
import { type CallOptions, LinkError } from '../wire/index.js';
import type { LeaderRefusal, Rejection } from './leader-refusal.js';

/** Response of one member: a result, a rejection by the leader, or a redirect. */
export type TryResult<Response> =
  | { response: Response }
  | { refused: LeaderRefusal }
  | { leaderAddress: string | undefined; refusal: string | undefined };

/** Converts a rejection into the result of an attempt. */
export function rejectionResult({ refused, leaderAddress, refusal }: Rejection): TryResult<never> {
  return refused ? { refused } : { leaderAddress, refusal };
}

/** Sends the request to one member. */
export type Attempt<Response> = (
  address: string,
  limits: CallOptions,
) => Promise<TryResult<Response>>;

/** Result of an attempt, with the member's address. */
export type AttemptOutcome<Response> = TryResult<Response> & {
  address: string;
  /** The request or its response was lost with the connection. */
  isLost: boolean;
};

export interface PendingAttemptsLimits {
  /** End of the whole call (monotonic, milliseconds). */
  deadline: number;
  /** Time without data from a member after which its connection is suspect, in milliseconds. */
  silenceMs: number;
}

export class PendingAttempts<Response> {
  private readonly pending = new Set<string>();
  private readonly outcomes: AttemptOutcome<Response>[] = [];
  private onOutcome: () => void = () => undefined;

  constructor(
    private readonly attempt: Attempt<Response>,
    private readonly limits: PendingAttemptsLimits,
  ) {}

  has(address: string): boolean {
    return this.pending.has(address);
  }

  /** Asks a member, unless it has a pending attempt. */
  begin(address: string): void {
    if (this.pending.has(address)) return;
    this.pending.add(address);
    void this.ask(address).then((outcome) => {
      this.outcomes.push(outcome);
      this.onOutcome();
    });
  }

  /** The next outcome of any attempt, or undefined after `timeoutMs`. */
  async next(timeoutMs: number): Promise<AttemptOutcome<Response> | undefined> {
    if (this.outcomes.length === 0) await this.waitForOutcome(timeoutMs);
    const outcome = this.outcomes.shift();
    if (outcome) this.pending.delete(outcome.address);
    return outcome;
  }

  /**
   * Waits, or returns early when an outcome for which `endsPause` holds is available. Other
   * failures do not end the pause; otherwise members that all fail would be retried without delay.
   */
  async pause(
    forMs: number,
    endsPause: (outcome: AttemptOutcome<Response>) => boolean,
  ): Promise<void> {
    const until = monotonicMs() + forMs;
    while (!this.outcomes.some(endsPause)) {
      const leftMs = until - monotonicMs();
      if (leftMs <= 0) return;
      await this.waitForOutcome(leftMs);
    }
  }

  private async waitForOutcome(timeoutMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      this.onOutcome = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.onOutcome = () => undefined;
  }

  private async ask(address: string): Promise<AttemptOutcome<Response>> {
    const { deadline, silenceMs } = this.limits;
    const timeoutMs = Math.max(1, deadline - monotonicMs());
    try {
      const result = await this.attempt(address, { timeoutMs, silenceMs });
      return { ...result, address, isLost: false };
    } catch (error) {
      const isLost = error instanceof LinkError;
      return { address, isLost, leaderAddress: undefined, refusal: describeError(error) };
    }
  }
}
