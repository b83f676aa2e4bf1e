/** The members of a group that one call has asked and that have not answered yet. */
import { describeError, monotonicMs } from '../common/index.js';
import { type CallOptions, LinkError } from '../wire/index.js';
import type { LeaderRefusal, Rejection } from './leader-refusal.js';

/** What one member said: the result, that it leads and refuses, or where else to ask. */
export type TryResult<Response> =
  | { response: Response }
  | { refused: LeaderRefusal }
  | { leaderAddress: string | undefined; refusal: string | undefined };

/** Reads what a member said in place of an answer. */
export function rejectionResult({ refused, leaderAddress, refusal }: Rejection): TryResult<never> {
  return refused ? { refused } : { leaderAddress, refusal };
}

/** Asks one member. */
export type Attempt<Response> = (
  address: string,
  limits: CallOptions,
) => Promise<TryResult<Response>>;

/** What a member said, and which one. */
export type AttemptOutcome<Response> = TryResult<Response> & {
  address: string;
  /** The question or its answer was lost with the connection. */
  isLost: boolean;
};

export interface PendingAttemptsLimits {
  /** When the whole call ends (monotonic, milliseconds). */
  deadline: number;
  /** After this time without a byte from a member its connection is suspect, in milliseconds. */
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

  /** Asks a member, unless its answer is outstanding. */
  begin(address: string): void {
    if (this.pending.has(address)) return;
    this.pending.add(address);
    void this.ask(address).then((outcome) => {
      this.outcomes.push(outcome);
      this.onOutcome();
    });
  }

  /** The next answer or failure of any member, or nothing after `timeoutMs`. */
  async next(timeoutMs: number): Promise<AttemptOutcome<Response> | undefined> {
    if (this.outcomes.length === 0) await this.waitForOutcome(timeoutMs);
    const outcome = this.outcomes.shift();
    if (outcome) this.pending.delete(outcome.address);
    return outcome;
  }

  /**
   * Waits, but no longer than until an answer that ends the pause is there to be read. A failure mustn't end the
   * pause after another one: members that all fail at once would be asked without any.
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
