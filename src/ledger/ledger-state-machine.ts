/** The replicated ledger: budgets of programs and turns that are kept. */
import type { StateMachine } from '../consensus/index.js';
import { decodeFrames, decodeValue, encodeFrame } from '../wire/index.js';
import { type EncodedTurn, KeptTurns } from './kept-turns.js';
import type {
  LedgerCommand,
  ReserveCommand,
  ReserveResult,
  SettleCommand,
  Settlement,
} from './ledger-commands.js';
import { type EncodedAccount, ProgramBudgets } from './program-budgets.js';
import { type EncodedPlacements, ProgramPlacements } from './program-placements.js';

const SWEEP_INTERVAL_MS = 5_000;
/**
 * About so many bytes of turns are encoded in one piece of a snapshot: far above the cost of a write,
 * far below what a process may hold.
 */
const SNAPSHOT_PIECE_BYTES = 256 * 1024;
/** Turns are kept a little longer than promised, since clocks of leaders follow one another. */
const EXPIRY_SLACK_MS = 10_000;

/** The first frame of a snapshot; turns follow, in frames of some size. */
interface EncodedLedger {
  clockMs: number;
  accounts: EncodedAccount[];
  placements?: EncodedPlacements[];
}

export class LedgerStateMachine implements StateMachine {
  readonly budgets = new ProgramBudgets();
  readonly turns = new KeptTurns();
  readonly placements = new ProgramPlacements();
  private clock = 0;
  private sweptAtMs = 0;

  /** The highest leader's clock that a command carried, in milliseconds. */
  get clockMs(): number {
    return this.clock;
  }

  apply(bytes: Uint8Array): ReserveResult | undefined {
    const command = decodeValue<LedgerCommand>(bytes);
    this.clock = Math.max(this.clock, command.nowMs);
    this.sweep();
    return command.kind === 'reserve' ? this.reserve(command) : this.settleAll(command);
  }

  snapshot(): Iterable<Uint8Array> {
    const head: EncodedLedger = {
      clockMs: this.clock,
      accounts: this.budgets.encode(),
      placements: this.placements.encode(),
    };
    return this.encodePieces(encodeFrame(head), this.turns.encode());
  }

  restore(bytes: Uint8Array): void {
    const [head, ...turns] = decodeFrames(bytes) as [EncodedLedger, ...EncodedTurn[][]];
    this.clock = head.clockMs;
    this.sweptAtMs = head.clockMs;
    this.budgets.restore(head.accounts);
    this.turns.restore(turns.flat());
    this.placements.restore(head.placements);
  }

  /** Inputs and outputs of turns never change, so they are encoded as the pieces are asked for. */
  private *encodePieces(head: Uint8Array, turns: readonly EncodedTurn[]): Generator<Uint8Array> {
    yield head;
    let piece: EncodedTurn[] = [];
    let bytes = 0;
    for (const turn of turns) {
      piece.push(turn);
      bytes += turn.input.length + turn.output.length;
      if (bytes < SNAPSHOT_PIECE_BYTES) continue;
      yield encodeFrame(piece);
      piece = [];
      bytes = 0;
    }
    yield encodeFrame(piece);
  }

  private reserve(command: ReserveCommand): ReserveResult {
    const { previousTurn, program, session } = command;
    for (const settlement of command.settlements ?? []) this.settle(settlement);
    const isKnown = previousTurn === undefined || this.turns.has(previousTurn);
    if (!isKnown) return { outcome: 'unknown-predecessor', allowanceTokens: 0 };
    const outcome = this.budgets.reserve(command) ? 'granted' : 'budget-exhausted';
    const allowanceTokens = outcome === 'granted' ? this.budgets.grantAllowance(command) : 0;
    return { outcome, allowanceTokens, lastBackend: this.placements.find(program, session) };
  }

  private settleAll(command: SettleCommand): undefined {
    for (const settlement of command.settlements) this.settle(settlement);
  }

  private settle(settlement: Settlement): void {
    const { program, attempt, keep, placement } = settlement;
    this.budgets.settle(settlement, this.clock);
    if (keep) this.turns.keep(attempt, keep, this.clock);
    if (placement) this.placements.note(program, placement, this.clock);
  }

  private sweep(): void {
    if (this.clock - this.sweptAtMs < SWEEP_INTERVAL_MS) return;
    this.sweptAtMs = this.clock;
    this.turns.expire(this.clock - EXPIRY_SLACK_MS);
    this.budgets.expire(this.clock);
    this.placements.expire(this.clock);
  }
}
