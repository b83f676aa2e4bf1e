/**
 * Load of agent programs on a ledger: chains of kept turns with budgets, whose engines are never busy. A program ends on
 * time if it takes little longer than with an idle ledger.
 */
import { SeededRandom, monotonicMs, sleep } from '../../src/common/index.js';
import { ProgramAdmission, ledgerLoadOf } from '../../src/forwarding/program-admission.js';
import type { Ledger } from '../../src/ledger/index.js';
import { sampleCall } from './sample-call.js';

const GATEWAYS = 20;
export const TURNS = 5;
const ENGINE_MS = 150;
const PAUSE_MS = 50;
/** Duration of a program whose ledger takes no time. */
const IDLE_MS = TURNS * (ENGINE_MS + PAUSE_MS);
/** Objective of a program, as a multiple of its idle duration. */
const OBJECTIVE_FACTOR = 1.4;
/** Time limit of a turn. */
const TURN_LIMIT_MS = 1_000;
const MOST_TOKENS = 100;
const SPENT_TOKENS = 40;
/** Twice what the turns can spend at most. */
const BUDGET_TOKENS = 2 * TURNS * MOST_TOKENS;
const INPUT_BYTES = 400;
const RETENTION_MS = 60_000;
/** A turn that failed is sent again twice, after a random delay. */
const MAX_ATTEMPTS = 3;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 400;
/** Probability that a turn arrives at another gateway than the one before it. */
const MOVE_PROBABILITY = 0.3;

const SERVICE = 'model';
const PRIORITY = 0;
/** Engines are never the bottleneck. */
const NO_ENGINES: [] = [];

interface ProgramRecord {
  beganAt: number;
  tookMs?: number;
}

interface Gateway {
  client: Ledger;
  admission: ProgramAdmission;
  /** Turns whose histories this gateway has cached. */
  cached: Set<string>;
}

export class ProgramLoad {
  private readonly programs: ProgramRecord[] = [];
  private readonly gateways: Gateway[];
  private readonly random: SeededRandom;
  private readonly running: Promise<void>[] = [];

  /** @param ledger creates the clients of gateways, by their names */
  constructor(ledger: { createClient(name: string): Ledger }, seed: number) {
    this.random = new SeededRandom(seed);
    this.gateways = Array.from({ length: GATEWAYS }, (_, index) => ({
      client: ledger.createClient(`gateway-${index}`),
      admission: new ProgramAdmission(),
      cached: new Set(),
    }));
  }

  /** Begins programs at random times, with a constant mean rate. */
  async begin(perSecond: number, forMs: number): Promise<void> {
    const endAt = monotonicMs() + forMs;
    for (;;) {
      const pauseMs = this.random.exponential(1_000 / perSecond);
      if (monotonicMs() + pauseMs >= endAt) break;
      await sleep(pauseMs);
      this.running.push(this.run());
    }
    await sleep(endAt - monotonicMs());
  }

  async waitForAll(): Promise<void> {
    await Promise.all(this.running);
  }

  /** Programs begun in an interval, and those of them that ended on time. */
  countBetween(from: number, to: number): { begun: number; onTime: number } {
    const begun = this.programs.filter(({ beganAt }) => beganAt >= from && beganAt < to);
    const limitMs = IDLE_MS * OBJECTIVE_FACTOR;
    const onTime = begun.filter(({ tookMs = Infinity }) => tookMs <= limitMs);
    return { begun: begun.length, onTime: onTime.length };
  }

  private async run(): Promise<void> {
    const program: ProgramRecord = { beganAt: monotonicMs() };
    const id = `program-${this.programs.push(program)}`;
    let gateway = this.random.pick(this.gateways);
    let previousTurn: string | undefined;
    for (let turn = 1; turn <= TURNS; turn += 1) {
      if (this.random.chance(MOVE_PROBABILITY)) gateway = this.random.pick(this.gateways);
      previousTurn = await this.runTurn(gateway, id, turn, previousTurn);
      if (previousTurn === undefined) return;
      await sleep(PAUSE_MS);
    }
    program.tookMs = monotonicMs() - program.beganAt;
  }

  /** @returns the id of the attempt that was kept, if any */
  private async runTurn(
    gateway: Gateway,
    program: string,
    turn: number,
    previousTurn: string | undefined,
  ): Promise<string | undefined> {
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const id = `${program}-${turn}-${attempt}`;
      try {
        await attemptTurn(gateway, { program, id, previousTurn });
        return id;
      } catch {
        await sleep(MIN_RETRY_MS + this.random.uniform() * (MAX_RETRY_MS - MIN_RETRY_MS));
      }
    }
    return undefined;
  }
}

interface TurnAttempt {
  program: string;
  id: string;
  previousTurn: string | undefined;
}

/** Reserves the turn, waits for the engine and keeps the turn. @throws if either is not done in time */
async function attemptTurn(gateway: Gateway, attempt: TurnAttempt): Promise<void> {
  const { client, cached, admission } = gateway;
  const { program, id, previousTurn } = attempt;
  const call = sampleCall({ program: { id: program }, previousTurn });
  const ledgerLoad = ledgerLoadOf(client.delayMsOf(program), ENGINE_MS);
  if (!admission.admits(SERVICE, PRIORITY, call, NO_ENGINES, ledgerLoad))
    throw new Error('not admitted');
  const deadlineMs = monotonicMs() + TURN_LIMIT_MS;
  const hasHistory = previousTurn === undefined || cached.has(previousTurn);
  const request = {
    program,
    attempt: id,
    budgetTokens: BUDGET_TOKENS,
    mostTokens: MOST_TOKENS,
    previousTurn,
    wantsHistory: !hasHistory,
  };
  const reservation = await client.reserve(request, TURN_LIMIT_MS - ENGINE_MS, hasHistory);
  if (reservation.outcome !== 'granted') throw new Error(reservation.outcome);
  await sleep(ENGINE_MS);
  const input = Buffer.alloc(INPUT_BYTES);
  const keep = { previousTurn, input, output: Buffer.from('o'), retentionMs: RETENTION_MS };
  const settlement = { program, attempt: id, spentTokens: SPENT_TOKENS, keep };
  const { allowanceTaken } = reservation;
  const charged =
    allowanceTaken === undefined
      ? settlement
      : client.drawFromAllowance(settlement, allowanceTaken);
  await client.settle(charged, Math.max(1, deadlineMs - monotonicMs()), {
    budgetTokens: BUDGET_TOKENS,
    mostTokens: MOST_TOKENS,
  });
  cached.add(id);
}
