/** Load of programs with kept turns, and the acknowledged results to verify afterwards. */
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
/** Retention of short-lived programs, which causes compaction of value segments. */
const SHORT_RETENTION_MS = 1_000;
const DEFAULT_SHORT_LIVED_SHARE = 0.4;
const MAX_CHAIN_LENGTH = 6;
const MAX_VALUE_BYTES = 400;
const MAX_PAUSE_MS = 6;
const CALL_TIMEOUT_MS = 1_000;
/** Tokens of each turn. */
const SPENT_TOKENS = 1;

/** A kept turn that was acknowledged. */
export interface KeptChain {
  turn: string;
  /** History up to and including the turn. */
  history: string;
}

/** Runs programs in sequence, each as a chain of turns. */
export class ChainWriter {
  /** Acknowledged turns with the long retention, in order. */
  readonly acknowledged: KeptChain[] = [];
  /** Tokens of acknowledged turns by program. */
  readonly spentTokens = new Map<string, number>();
  /** Number of acknowledged turns of all programs. */
  acknowledgedCount = 0;
  private turns = 0;
  private isStopped = false;
  private running: Promise<void> = Promise.resolve();

  constructor(
    readonly name: string,
    private readonly client: GroupClient,
    private readonly copies: ValueCopySender,
    private readonly random: SeededRandom,
    /** Share of programs whose turns have the short retention. @default 0.4 */
    private readonly shortLivedShare = DEFAULT_SHORT_LIVED_SHARE,
    /** The ledger group of its programs. @default the first one */
    readonly group = LEDGER_GROUP,
  ) {}

  start(): void {
    this.running = this.run();
  }

  /** Resolves once the running turn is acknowledged or abandoned. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.running;
  }

  private async run(): Promise<void> {
    while (!this.isStopped) await this.runProgram(`${this.name}-${this.turns}`);
  }

  private async runProgram(program: string): Promise<void> {
    const length = this.random.integer(1, MAX_CHAIN_LENGTH);
    const isShortLived = this.random.chance(this.shortLivedShare);
    const retentionMs = isShortLived ? SHORT_RETENTION_MS : RETENTION_MS;
    let previous: KeptChain | undefined;
    for (let count = 0; count < length && !this.isStopped; count += 1) {
      previous = await this.keepTurn(program, retentionMs, previous);
      if (previous && !isShortLived) this.acknowledged.push(previous);
      await sleep(this.random.integer(0, MAX_PAUSE_MS));
    }
  }

  /** Retries a turn until it is acknowledged, like a gateway. */
  private async keepTurn(
    program: string,
    retentionMs: number,
    previous: KeptChain | undefined,
  ): Promise<KeptChain | undefined> {
    this.turns += 1;
    const turn = `${this.name}-turn-${this.turns}`;
    const input = `${turn}:${'i'.repeat(this.random.integer(1, MAX_VALUE_BYTES))}`;
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
    const { group } = this;
    const request = { group, settlements: [settlement], copiedTo: this.copies.send(settlement) };
    const limits = { timeoutMs: CALL_TIMEOUT_MS };
    try {
      const response = await callLeader(this.client, group, SETTLE, request, limits);
      if (response.copyTargets) this.copies.updateTargets(response.copyTargets);
      return response.isSettled;
    } catch {
      return false;
    }
  }
}

/**
 * Reads the history of a kept turn from the leader until it is correct.
 * @returns the last problem, or undefined
 */
export async function readUntilCorrect(
  client: GroupClient,
  { turn, history }: KeptChain,
  deadlineMs: number,
  group = LEDGER_GROUP,
): Promise<string | undefined> {
  let problem = 'no request sent';
  const request = {
    group,
    program: `reader-of-${turn}`,
    attempt: `after-${turn}`,
    mostTokens: 1,
    previousTurn: turn,
    wantsHistory: true,
  };
  while (monotonicMs() < deadlineMs) {
    try {
      const limits = { timeoutMs: CALL_TIMEOUT_MS };
      const response = await callLeader(client, group, RESERVE, request, limits);
      if (response.history && Buffer.from(response.history).toString() === history)
        return undefined;
      problem = `${response.outcome}, wrong history`;
    } catch (error) {
      problem = (error as Error).message;
    }
  }
  return `${turn}: ${problem}`;
}
