/** Programs whose turns are kept one after the other, and what may be relied on of them afterwards. */
import { type SeededRandom, monotonicMs, sleep } from '../../src/common/index.js';
import { type GroupClient, callLeader } from '../../src/consensus/index.js';
import {
  LEDGER_GROUP,
  RESERVE,
  SETTLE,
  type Settlement,
  type ValueCopySender,
} from '../../src/ledger/index.js';

const RETENTION_MS = 600_000;
/** Of programs whose turns are over soon, so that segments of values are cleaned. */
const SHORT_RETENTION_MS = 1_000;
const SHORT_LIVED_SHARE = 0.4;
const LONGEST_CHAIN = 6;
const LONGEST_VALUE_BYTES = 400;
const LONGEST_PAUSE_MS = 6;
const CALL_TIMEOUT_MS = 1_000;
/** Tokens of each turn. */
const SPENT_TOKENS = 1;

/** A turn whose keeping was acknowledged. */
export interface KeptChain {
  turn: string;
  /** All that it continues from, with itself. */
  history: string;
}

/** One program after the other, each a chain of turns. */
export class ChainWriter {
  /** Acknowledged turns that are kept for long, in order. */
  readonly acknowledged: KeptChain[] = [];
  /** Tokens of acknowledged turns by program. */
  readonly spentTokens = new Map<string, number>();
  /** Turns that were acknowledged so far, of all programs. */
  acknowledgedCount = 0;
  private turns = 0;
  private isStopped = false;
  private running: Promise<void> = Promise.resolve();

  constructor(
    readonly name: string,
    private readonly client: GroupClient,
    private readonly copies: ValueCopySender,
    private readonly random: SeededRandom,
  ) {}

  start(): void {
    this.running = this.run();
  }

  /** Resolves once the turn that is under way is given up or acknowledged. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.running;
  }

  private async run(): Promise<void> {
    while (!this.isStopped) await this.runProgram(`${this.name}-${this.turns}`);
  }

  private async runProgram(program: string): Promise<void> {
    const length = this.random.integer(1, LONGEST_CHAIN);
    const isShortLived = this.random.chance(SHORT_LIVED_SHARE);
    const retentionMs = isShortLived ? SHORT_RETENTION_MS : RETENTION_MS;
    let previous: KeptChain | undefined;
    for (let count = 0; count < length && !this.isStopped; count += 1) {
      previous = await this.keepTurn(program, retentionMs, previous);
      if (previous && !isShortLived) this.acknowledged.push(previous);
      await sleep(this.random.integer(0, LONGEST_PAUSE_MS));
    }
  }

  /** Asks again for the same turn until it is acknowledged, as a gateway does. */
  private async keepTurn(
    program: string,
    retentionMs: number,
    previous: KeptChain | undefined,
  ): Promise<KeptChain | undefined> {
    this.turns += 1;
    const turn = `${this.name}-turn-${this.turns}`;
    const input = `${turn}:${'i'.repeat(this.random.integer(1, LONGEST_VALUE_BYTES))}`;
    const settlement: Settlement = {
      program,
      attempt: turn,
      spentTokens: SPENT_TOKENS,
      keep: {
        previousTurn: previous?.turn,
        input: Buffer.from(input),
        output: Buffer.from(';'),
        retentionMs,
      },
    };
    while (!this.isStopped) {
      if (!(await this.settle(settlement))) continue;
      this.acknowledgedCount += 1;
      this.spentTokens.set(program, (this.spentTokens.get(program) ?? 0) + SPENT_TOKENS);
      return { turn, history: `${previous?.history ?? ''}${input};` };
    }
    return undefined;
  }

  /** @returns whether it was acknowledged */
  private async settle(settlement: Settlement): Promise<boolean> {
    const request = { settlements: [settlement], copiedTo: this.copies.send(settlement) };
    const limits = { timeoutMs: CALL_TIMEOUT_MS };
    try {
      const answer = await callLeader(this.client, LEDGER_GROUP, SETTLE, request, limits);
      if (answer.copyTargets) this.copies.updateTargets(answer.copyTargets);
      return answer.isSettled;
    } catch {
      return false;
    }
  }
}

/**
 * Reads a kept turn's history at the leader, again and again until it is right.
 * @returns what was wrong last; undefined once it is right
 */
export async function readUntilCorrect(
  client: GroupClient,
  { turn, history }: KeptChain,
  deadlineMs: number,
): Promise<string | undefined> {
  let problem = 'never asked';
  const request = {
    program: `reader-of-${turn}`,
    attempt: `after-${turn}`,
    mostTokens: 1,
    previousTurn: turn,
    wantsHistory: true,
  };
  while (monotonicMs() < deadlineMs) {
    try {
      const limits = { timeoutMs: CALL_TIMEOUT_MS };
      const answer = await callLeader(client, LEDGER_GROUP, RESERVE, request, limits);
      if (answer.history && Buffer.from(answer.history).toString() === history) return undefined;
      problem = `${answer.outcome}, another history`;
    } catch (error) {
      problem = (error as Error).message;
    }
  }
  return `${turn}: ${problem}`;
}
