/** Serves reservations and settlements on the process that leads the ledger group. */
import { LedgegaugeError, monotonicMs, sleep } from '../common/index.js';
import {
  type PeerNotifier,
  type ReplicatedGroup,
  answerAsLeader,
  votersOf,
} from '../consensus/index.js';
import { type MethodRouter, encodeValue } from '../wire/index.js';
import { encodeTurnValue } from './kept-turn-index.js';
import { MEMBER_CONTACT_TIMEOUT_MS, readHistoryAsLeader } from './leader-history.js';
import {
  type LedgerCommand,
  type ReserveResult,
  type Settlement,
  hasInlineValue,
} from './ledger-commands.js';
import type { LedgerStateMachine } from './ledger-state-machine.js';
import {
  type CopyTargets,
  type HistorySource,
  READ_HISTORY,
  READ_TURNS,
  RESERVE,
  type ReadHistoryResponse,
  type ReadHistoryRequest,
  type ReadTurnsResponse,
  type ReadTurnsRequest,
  type ReserveResponse,
  type ReserveRequest,
  SETTLE,
  type SettleResponse,
  type SettleRequest,
  TAKE_COPY,
} from './messages.js';
import { sendCopy } from './value-copy-sender.js';

/** Members named for one history: a second for when the first has just gone. */
const NAMED_MEMBERS = 2;
/** How long a read waits here for the entry that brings its turn, in milliseconds: some heartbeats. */
const APPLY_WAIT_MS = 200;

export interface LedgerServiceOptions {
  peers: PeerNotifier;
  stateMachine: LedgerStateMachine;
  findGroup: () => ReplicatedGroup | undefined;
  /** Whether this process is so short of memory that reservations must wait. */
  isUnderMemoryPressure: () => boolean;
}

/** The process is short of memory; nothing was reserved. */
export class LedgerOverloadedError extends LedgegaugeError {}

export class LedgerService {
  private leadingSince = 0;
  private clockAtStart = 0;
  private nextHolder = 0;
  /** Bytes of kept turns sent: with reservations, and to whoever asked for turns. */
  readonly sentBytes = { histories: 0, turns: 0 };

  constructor(private readonly options: LedgerServiceOptions) {}

  /** Turns that the state of this member names. */
  get keptTurnCount(): number {
    return this.options.stateMachine.turns.size;
  }

  registerHandlers(router: MethodRouter): void {
    router.handle(RESERVE, (request) =>
      answerAsLeader(this.options.findGroup(), (group) => this.reserve(group, request)),
    );
    router.handle(SETTLE, (request) =>
      answerAsLeader(this.options.findGroup(), (group) => this.settle(group, request)),
    );
    router.handle(READ_HISTORY, (request) => this.readHistory(request));
    router.handle(TAKE_COPY, ({ turn, value }) =>
      this.options.stateMachine.external.storeCopy(turn, value),
    );
    router.handle(READ_TURNS, (request) => this.readTurns(request));
  }

  /** Members that hold a turn and answer, each as likely as the others. */
  private historySource(group: ReplicatedGroup, turn: string): HistorySource | undefined {
    const atIndex = this.options.stateMachine.turns.keptAtIndex(turn);
    if (atIndex === undefined) return undefined;
    const heardSince = monotonicMs() - MEMBER_CONTACT_TIMEOUT_MS;
    const holders = group.configuration.members.filter(
      ({ id }) =>
        id !== group.ownId &&
        group.matchIndexOf(id) >= atIndex &&
        group.contactMsOf(id) >= heardSince,
    );
    if (holders.length === 0) return undefined;
    const first = this.nextHolder++ % holders.length;
    const named = [...holders.slice(first), ...holders.slice(0, first)].slice(0, NAMED_MEMBERS);
    return { addresses: named.map(({ address }) => address), atIndex };
  }

  /** Any member answers from what it holds itself. */
  private async readHistory({ turn, atIndex }: ReadHistoryRequest): Promise<ReadHistoryResponse> {
    const applier = this.options.findGroup()?.applier;
    if (!applier) return {};
    const isApplied = (): boolean => applier.appliedIndex >= atIndex;
    if (!isApplied()) await Promise.race([applier.waitApplied(atIndex), sleep(APPLY_WAIT_MS)]);
    if (!isApplied()) return {};
    const history = await this.options.stateMachine.external.read(turn, []);
    this.sentBytes.histories += history?.length ?? 0;
    return { history };
  }

  /** Any member answers, also one that does not lead. */
  private async readTurns(request: ReadTurnsRequest): Promise<ReadTurnsResponse> {
    const appliedIndex = this.options.findGroup()?.applier.appliedIndex ?? 0;
    const { atIndex } = request;
    const mayTellExpired = atIndex !== undefined && appliedIndex >= atIndex;
    const answer = await this.options.stateMachine.external.answer(request, mayTellExpired);
    for (const [, value] of answer.values) this.sentBytes.turns += value.length;
    return { ...answer, memberId: this.options.findGroup()?.ownId };
  }

  private async reserve(group: ReplicatedGroup, request: ReserveRequest): Promise<ReserveResponse> {
    if (this.options.isUnderMemoryPressure()) throw overloadedError();
    const { wantsHistory, mayReadElsewhere, copyTargets: known, ...reservation } = request;
    const command: LedgerCommand = { kind: 'reserve', ...reservation, nowMs: this.nowMs(group) };
    const reserved = (await group.propose(encodeValue(command))) as ReserveResult;
    const targets = copyTargetsOf(group);
    const result = targets.version === known ? reserved : { ...reserved, copyTargets: targets };
    const { previousTurn } = request;
    if (result.outcome !== 'granted' || previousTurn === undefined || !wantsHistory) return result;
    const source = mayReadElsewhere ? this.historySource(group, previousTurn) : undefined;
    if (source) return { ...result, historySource: source };
    const { external } = this.options.stateMachine;
    const { history, missingHistory } = await readHistoryAsLeader(group, external, previousTurn);
    this.sentBytes.histories += history?.length ?? 0;
    return { ...result, history, missingHistory };
  }

  private async settle(
    group: ReplicatedGroup,
    { settlements: received, copiedTo, canCopy }: SettleRequest,
  ): Promise<SettleResponse> {
    const targets = copyTargetsOf(group);
    const isCopied = copiedTo === targets.version;
    const values = valuesIn(received);
    // Copies by the leader, of what all gateways keep after its election, would take its link for good.
    if (!isCopied && canCopy && values.size > 0) return { isSettled: false, copyTargets: targets };
    if (!isCopied) this.sendCopies(values, targets.addresses);
    const settlements = received.map(withoutValue);
    const command: LedgerCommand = { kind: 'settle', settlements, nowMs: this.nowMs(group) };
    await this.options.stateMachine.external.storeValues(values);
    await group.propose(encodeValue(command), [...values.values()]);
    return { isSettled: true, copyTargets: isCopied ? undefined : targets };
  }

  /** For a gateway that does not know the followers of this leader yet. */
  private sendCopies(values: ReadonlyMap<string, Buffer>, addresses: readonly string[]): void {
    const { peers } = this.options;
    for (const [turn, value] of values) sendCopy(peers, addresses, { turn, value });
  }

  /** A clock that goes on from the state's where the leader before left it. */
  private nowMs(group: ReplicatedGroup): number {
    if (this.leadingSince !== group.leadingSince) {
      this.leadingSince = group.leadingSince;
      this.clockAtStart = this.options.stateMachine.clockMs;
    }
    return Math.round(this.clockAtStart + monotonicMs() - this.leadingSince);
  }
}

/** By the turn's id, in the order of the settlements. */
function valuesIn(settlements: readonly Settlement[]): Map<string, Buffer> {
  const values = new Map<string, Buffer>();
  for (const { attempt, keep } of settlements) {
    if (keep && hasInlineValue(keep)) values.set(attempt, encodeTurnValue(keep));
  }
  return values;
}

/**
 * In a log entry a value would go to every voter over this member's link, four copies of each, which bounded
 * what the ledger took.
 */
function withoutValue(settlement: Settlement): Settlement {
  const { keep } = settlement;
  if (!keep || !hasInlineValue(keep)) return settlement;
  const { previousTurn, retentionMs } = keep;
  return { ...settlement, keep: { previousTurn, retentionMs } };
}

function copyTargetsOf(group: ReplicatedGroup): CopyTargets {
  const { configuration, ownId, term } = group;
  const followers = votersOf(configuration).filter(({ id }) => id !== ownId);
  return {
    version: `${term}.${group.log.configurationIndex}`,
    addresses: followers.map(({ address }) => address),
  };
}

function overloadedError(): LedgerOverloadedError {
  return new LedgerOverloadedError('short of memory', { step: 'ledger.reserve', retriable: true });
}
