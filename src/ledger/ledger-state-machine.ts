/** State machine of the ledger: budgets of programs, kept turns and placements. */
import type { StateMachine } from '../consensus/index.js';
import type { LogEntry } from '../log-store/index.js';
import type { Logger } from '../observability/index.js';
import { decodeFrames, encodeFrame } from '../wire/index.js';
import { DecodedCommands } from './decoded-commands.js';
import { type EncodedTurn, KeptTurnIndex } from './kept-turn-index.js';
import {
  type KeptTurn,
  type KeptTurnReference,
  type NotKeptReason,
  type ReserveCommand,
  type ReserveResult,
  type SettleCommand,
  type SettleResult,
  type Settlement,
  hasInlineValue,
} from './ledger-commands.js';
import { type EncodedAccount, ProgramBudgets } from './program-budgets.js';
import { type EncodedPlacements, ProgramPlacements } from './program-placements.js';
import { type EncodedStream, StreamVersions, type VersionKey } from './stream-versions.js';
import { type ReadTurnsAt, TurnHistoryStore } from './turn-history-store.js';
import type { TurnValueStore } from './turn-value-store.js';

const SWEEP_INTERVAL_MS = 5_000;
/** Turns per chunk of a snapshot, about 40 bytes each: bounds memory while limiting the number of writes. */
const TURNS_PER_CHUNK = 2_000;
/** Extra retention of turns, which covers clock differences between leaders, in milliseconds. */
const EXPIRY_GRACE_MS = 10_000;

/** First frame of a snapshot; the frames of the kept turn index follow. */
interface EncodedLedger {
  clockMs: number;
  accounts: EncodedAccount[];
  placements?: EncodedPlacements[];
  streams?: EncodedStream[];
}

export interface LedgerStateOptions {
  /** Store of the inputs and outputs of kept turns. */
  values: TurnValueStore;
  readTurnsAt: ReadTurnsAt;
  logger: Logger;
}

export class LedgerStateMachine implements StateMachine {
  readonly budgets = new ProgramBudgets();
  readonly turns: KeptTurnIndex;
  readonly placements = new ProgramPlacements();
  readonly streams = new StreamVersions();
  readonly external: TurnHistoryStore;
  private readonly commands = new DecodedCommands();
  private clock = 0;
  private sweptAtMs = 0;
  /** Log index of the latest applied command. */
  private index = 0;

  constructor(private readonly options: LedgerStateOptions) {
    this.turns = new KeptTurnIndex(options.values);
    this.external = new TurnHistoryStore({
      ...options,
      turns: this.turns,
      turnIdsInSnapshot,
      turnIdsInEntry: (entry) => this.turnIdsInEntry(entry),
    });
  }

  /** Highest leader clock carried by an applied command, in milliseconds. */
  get clockMs(): number {
    return this.clock;
  }

  apply(bytes: Uint8Array, index = 0): ReserveResult | SettleResult {
    this.index = index;
    const command = this.commands.take(index, bytes);
    this.clock = Math.max(this.clock, command.nowMs);
    this.sweep();
    return command.kind === 'reserve' ? this.reserve(command) : this.settleAll(command);
  }

  snapshot(): Iterable<Uint8Array> {
    const head: EncodedLedger = {
      clockMs: this.clock,
      accounts: this.budgets.encode(),
      placements: this.placements.encode(),
      streams: this.streams.encode(),
    };
    return encodeChunks(encodeFrame(head), this.turns.encode(TURNS_PER_CHUNK, this.index));
  }

  restore(bytes: Uint8Array): void {
    this.commands.clear();
    const { head, turns } = decodeState(bytes);
    this.clock = head.clockMs;
    this.sweptAtMs = head.clockMs;
    this.budgets.restore(head.accounts);
    this.turns.restore(turns);
    this.placements.restore(head.placements);
    this.streams.restore(head.streams);
    this.logRestored();
  }

  /** Warns if values are missing, which must then be fetched from other members. */
  private logRestored(): void {
    const { turns, options } = this;
    const restored = { named: turns.size, missing: turns.countWithoutValue() };
    if (restored.missing > 0) options.logger.warn('kept turns restored', restored);
    else options.logger.info('kept turns restored', restored);
  }

  private reserve(command: ReserveCommand): ReserveResult {
    const { previousTurn, program, session, stream } = command;
    for (const settlement of command.settlements ?? []) this.settle(settlement);
    if (!this.isKept(previousTurn)) return { outcome: 'unknown-predecessor', allowanceTokens: 0 };
    const isResumable =
      stream?.kind !== 'resume' || this.streams.find(stream.attempt) !== undefined;
    if (!isResumable) return { outcome: 'unknown-stream', allowanceTokens: 0 };
    const lastBackend = this.placements.find(program, session)?.backend;
    if (!this.budgets.reserve(command))
      return { outcome: 'budget-exhausted', allowanceTokens: 0, lastBackend };
    const allowanceTokens = this.budgets.grantAllowance(command);
    this.turns.extendChain(previousTurn, this.clock + (command.holdMs ?? 0));
    const streamVersion = this.streamVersionOf(command);
    return { outcome: 'granted', allowanceTokens, lastBackend, streamVersion };
  }

  /** Finds or records the version at which the stream of a granted reservation may run. */
  private streamVersionOf(command: ReserveCommand): VersionKey | undefined {
    const { stream, attempt, program, session } = command;
    if (!stream) return undefined;
    if (stream.kind === 'resume') return this.streams.find(stream.attempt);
    const { versions, keepMs } = stream;
    const last = this.placements.find(program, session)?.version;
    const version = last !== undefined && versions.includes(last) ? last : versions[0];
    return version && this.streams.begin({ attempt, version, keepMs }, this.clock);
  }

  private settleAll(command: SettleCommand): SettleResult {
    let allowanceTokens: number | undefined;
    let notKept: NotKeptReason | undefined;
    for (const settlement of command.settlements) {
      notKept = this.settle(settlement) ?? notKept;
      const { program, renewal } = settlement;
      if (renewal) allowanceTokens = this.budgets.grantAllowance({ program, ...renewal });
    }
    for (const stream of command.streams ?? []) this.streams.replace(stream, this.clock);
    return { allowanceTokens, notKept };
  }

  /** @returns why the settlement's turn is not kept, if so */
  private settle(settlement: Settlement): NotKeptReason | undefined {
    const { program, attempt, keep, placement } = settlement;
    this.budgets.settle(settlement, this.clock);
    if (placement) this.placements.record(program, placement, this.clock);
    return keep && this.keep(attempt, keep);
  }

  /** A turn is kept only with its whole chain. A repeated settlement finds the turn kept already. */
  private keep(turn: string, keep: KeptTurn | KeptTurnReference): NotKeptReason | undefined {
    const isRepeated = this.turns.has(turn);
    if (isRepeated || this.isKept(keep.previousTurn)) {
      this.turns.keep(turn, keep, this.clock, this.index);
      return undefined;
    }
    this.turns.dropUnkept(turn, this.index);
    return 'unknown-predecessor';
  }

  private isKept(turn: string | undefined | null): boolean {
    if (turn === undefined || turn === null) return true;
    return this.turns.isKeptAt(turn, this.clock - EXPIRY_GRACE_MS);
  }

  /** Ids of the kept turns that an entry refers to without their values. */
  private turnIdsInEntry({ index, kind, data }: LogEntry): string[] {
    if (kind !== 'command') return [];
    const command = this.commands.decode(index, data);
    if (command.kind !== 'settle') return [];
    return command.settlements.flatMap(({ attempt, keep }) =>
      keep && !hasInlineValue(keep) ? [attempt] : [],
    );
  }

  private sweep(): void {
    if (this.clock - this.sweptAtMs < SWEEP_INTERVAL_MS) return;
    this.sweptAtMs = this.clock;
    this.turns.expire(this.clock - EXPIRY_GRACE_MS, this.index);
    this.budgets.expire(this.clock);
    this.placements.expire(this.clock);
    this.streams.expire(this.clock);
  }
}

function* encodeChunks(
  head: Uint8Array,
  groups: Iterable<EncodedTurn[]>,
): Generator<Uint8Array, void> {
  yield head;
  for (const group of groups) yield encodeFrame(group);
}

function decodeState(bytes: Uint8Array): { head: EncodedLedger; turns: EncodedTurn[] } {
  const [head, ...groups] = decodeFrames(bytes) as [EncodedLedger, ...EncodedTurn[][]];
  return { head, turns: groups.flat() };
}

function turnIdsInSnapshot(state: Uint8Array): string[] {
  return decodeState(state).turns.map(([id]) => id);
}
