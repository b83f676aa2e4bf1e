/** RPC service of the ledger: reservations and settlements on the leader, reads on any member. */
import { LedgegaugeError, monotonicMs, sleep } from '../common/index.js';
import {
  type LeaderAnswer,
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
  type NotKeptReason,
  type ReserveCommand,
  type ReserveResult,
  type Settlement,
  type SettleResult,
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
  type TakeCopyNotice,
} from './messages.js';
import { sendCopy } from './value-copy-sender.js';

/** Maximum number of members that a response lists as sources of a history. */
const MAX_HISTORY_SOURCES = 2;
/** How long a read waits until the entry that adds its turn is applied, in milliseconds. */
const APPLY_TIMEOUT_MS = 200;
/** Lag of the replicated clock from which on a refusal for lack of room advances it, in milliseconds. */
const MAX_CLOCK_LAG_MS = 1_000;
/** Answer for a group that this process does not serve. */
const NOT_STARTED = { refusal: 'group is not started on this member' };

export interface LedgerServiceOptions {
  /** @default the first group */
  groupName?: string;
  peers: PeerNotifier;
  stateMachine: LedgerStateMachine;
  findGroup: () => ReplicatedGroup | undefined;
  /** Whether this process must refuse reservations to limit its memory use. */
  isUnderMemoryPressure: () => boolean;
}

/** The process refused a request because it lacks memory or room. */
export class LedgerOverloadedError extends LedgegaugeError {}

export class LedgerService {
  private leadingSince = 0;
  private clockAtTermStart = 0;
  private nextSource = 0;
  /** Bytes of kept turns sent as histories, and to members that fetched turns. */
  readonly sentBytes = { histories: 0, turns: 0 };
  /** Turns refused for lack of room before they ran, and turns that were answered and not kept. */
  readonly withoutRoom = { refused: 0, notKept: 0 };

  constructor(private readonly options: LedgerServiceOptions) {}

  /** Number of kept turns in the state of this member. */
  get keptTurnCount(): number {
    return this.options.stateMachine.turns.size;
  }

  /** Number of streams whose software versions are in the state of this member. */
  get recordedStreamCount(): number {
    return this.options.stateMachine.streams.size;
  }

  /** Number of expired turns whose values this member still holds. */
  get expiredValueCount(): number {
    return this.options.stateMachine.turns.expired.heldCount;
  }

  answerReserve(request: ReserveRequest): Promise<LeaderAnswer<ReserveResponse>> {
    return answerAsLeader(this.options.findGroup(), (group) => this.reserve(group, request));
  }

  answerSettle(request: SettleRequest): Promise<LeaderAnswer<SettleResponse>> {
    return answerAsLeader(this.options.findGroup(), (group) => this.settle(group, request));
  }

  takeCopy({ turn, value }: TakeCopyNotice): void {
    this.options.stateMachine.external.storeCopy(turn, value);
  }

  /** Selects reachable members that hold a turn, round-robin. */
  private historySource(group: ReplicatedGroup, turn: string): HistorySource | undefined {
    const atIndex = this.options.stateMachine.turns.keptAtIndex(turn);
    if (atIndex === undefined) return undefined;
    const contactSince = monotonicMs() - MEMBER_CONTACT_TIMEOUT_MS;
    const holders = group.configuration.members.filter(
      ({ id }) =>
        id !== group.ownId &&
        group.matchIndexOf(id) >= atIndex &&
        group.contactMsOf(id) >= contactSince,
    );
    if (holders.length === 0) return undefined;
    const first = this.nextSource++ % holders.length;
    const selected = [...holders.slice(first), ...holders.slice(0, first)].slice(
      0,
      MAX_HISTORY_SOURCES,
    );
    return { addresses: selected.map(({ address }) => address), atIndex };
  }

  /** Served by any member, from its own store only. */
  async readHistory({ turn, atIndex }: ReadHistoryRequest): Promise<ReadHistoryResponse> {
    const applier = this.options.findGroup()?.applier;
    if (!applier) return {};
    const isApplied = (): boolean => applier.appliedIndex >= atIndex;
    if (!isApplied()) await Promise.race([applier.waitApplied(atIndex), sleep(APPLY_TIMEOUT_MS)]);
    if (!isApplied()) return {};
    const history = await this.options.stateMachine.external.read(turn, []);
    this.sentBytes.histories += history?.length ?? 0;
    return { history };
  }

  /** Served by any member. */
  async readTurns(request: ReadTurnsRequest): Promise<ReadTurnsResponse> {
    const group = this.options.findGroup();
    const isRecent = group !== undefined && isStateRecentEnough(group, request);
    const response = await this.options.stateMachine.external.answer(request, isRecent);
    for (const [, value] of response.values) this.sentBytes.turns += value.length;
    return { ...response, memberId: group?.ownId, commitIndex: group && knownCommitIndex(group) };
  }

  private async reserve(group: ReplicatedGroup, request: ReserveRequest): Promise<ReserveResponse> {
    if (this.options.isUnderMemoryPressure()) throw overloadedError();
    if (!this.hasRoomForTurn(request)) return this.refuseWithoutRoom(group, request);
    const { wantsHistory, mayReadElsewhere, copyTargets: knownVersion } = request;
    const nowMs = this.nowMs(group);
    const command: LedgerCommand = { kind: 'reserve', ...replicatedPartOf(request), nowMs };
    const reserved = (await group.propose(encodeValue(command))) as ReserveResult;
    const targets = copyTargetsOf(group);
    const copyTargets = targets.version === knownVersion ? undefined : targets;
    const result = { ...reserved, delayMs: delayOf(group), copyTargets };
    const { previousTurn } = request;
    if (result.outcome !== 'granted' || previousTurn === undefined || !wantsHistory) return result;
    const source = mayReadElsewhere ? this.historySource(group, previousTurn) : undefined;
    if (source) return { ...result, historySource: source };
    const { external } = this.options.stateMachine;
    const { history, missingHistory } = await readHistoryAsLeader(group, external, previousTurn);
    this.sentBytes.histories += history?.length ?? 0;
    return { ...result, history, missingHistory };
  }

  private hasRoomForTurn({ keptInputBytes, previousTurn }: ReserveRequest): boolean {
    if (keptInputBytes === undefined) return true;
    const { external } = this.options.stateMachine;
    return external.hasRoomForTurn(keptInputBytes, previousTurn === undefined);
  }

  /**
   * Refuses a reservation before its turn runs in vain. Its settlements are committed all the same, and the leader's clock
   * with them: kept turns expire, which makes room, only with commands.
   */
  private async refuseWithoutRoom(
    group: ReplicatedGroup,
    { settlements = [] }: ReserveRequest,
  ): Promise<ReserveResponse> {
    this.withoutRoom.refused += 1;
    if (settlements.length > 0 || this.isClockBehind(group)) {
      const command: LedgerCommand = { kind: 'settle', settlements, nowMs: this.nowMs(group) };
      await group.propose(encodeValue(command));
    }
    return { outcome: 'no-room', allowanceTokens: 0, delayMs: delayOf(group) };
  }

  private isClockBehind(group: ReplicatedGroup): boolean {
    return this.nowMs(group) - this.options.stateMachine.clockMs > MAX_CLOCK_LAG_MS;
  }

  private async settle(group: ReplicatedGroup, request: SettleRequest): Promise<SettleResponse> {
    const values = inlineValuesOf(request.settlements);
    if (this.hasRoomForValues(values)) return this.settleAndKeep(group, request, values);
    this.withoutRoom.notKept += 1;
    if (!request.readsNotKept) throw notKeptError('no-room');
    const settlements = request.settlements.map(withoutKeep);
    const response = await this.settleAndKeep(group, { ...request, settlements }, new Map());
    return { ...response, notKept: 'no-room' };
  }

  private hasRoomForValues(values: ReadonlyMap<string, Buffer>): boolean {
    if (values.size === 0) return true;
    const bytes = [...values.values()].reduce((sum, { length }) => sum + length, 0);
    return this.options.stateMachine.external.hasRoomForValues(bytes);
  }

  private async settleAndKeep(
    group: ReplicatedGroup,
    { settlements: inlineSettlements, streams, copiedTo, canCopy, readsNotKept }: SettleRequest,
    values: ReadonlyMap<string, Buffer>,
  ): Promise<SettleResponse> {
    const targets = copyTargetsOf(group);
    const isCopied = copiedTo === targets.version;
    // If the leader sent the copies for all gateways after an election, they would saturate its link.
    if (!isCopied && canCopy && values.size > 0) return { isSettled: false, copyTargets: targets };
    if (!isCopied) this.sendCopies(values, targets.addresses);
    const settlements = inlineSettlements.map(withoutInlineValue);
    const nowMs = this.nowMs(group);
    const command: LedgerCommand = { kind: 'settle', settlements, streams, nowMs };
    await this.options.stateMachine.external.storeValues(values);
    const attachments = [...values.values()];
    const result = (await group.propose(encodeValue(command), attachments)) as SettleResult;
    if (result.notKept && !readsNotKept) throw notKeptError(result.notKept);
    const recordedStreams = streams?.length;
    const copyTargets = isCopied ? undefined : targets;
    return { ...result, delayMs: delayOf(group), isSettled: true, recordedStreams, copyTargets };
  }

  /** Sends the values to the followers for a gateway that does not know them yet. */
  private sendCopies(values: ReadonlyMap<string, Buffer>, addresses: readonly string[]): void {
    const { peers, groupName: group } = this.options;
    for (const [turn, value] of values) sendCopy(peers, addresses, { group, turn, value });
  }

  /** Monotonic clock that continues from the clock of the replicated state. */
  private nowMs(group: ReplicatedGroup): number {
    if (this.leadingSince !== group.leadingSince) {
      this.leadingSince = group.leadingSince;
      this.clockAtTermStart = this.options.stateMachine.clockMs;
    }
    return Math.round(this.clockAtTermStart + monotonicMs() - this.leadingSince);
  }
}

/** Registers the handlers of all ledger groups of a process. @param find the service of a group on this member */
export function registerLedgerHandlers(
  router: MethodRouter,
  find: (group: string | undefined) => LedgerService | undefined,
): void {
  router.handle(RESERVE, (request) => find(request.group)?.answerReserve(request) ?? NOT_STARTED);
  router.handle(SETTLE, (request) => find(request.group)?.answerSettle(request) ?? NOT_STARTED);
  router.handle(READ_HISTORY, (request) => find(request.group)?.readHistory(request) ?? {});
  router.handle(TAKE_COPY, (copy) => find(copy.group)?.takeCopy(copy));
  router.handle(
    READ_TURNS,
    (request) =>
      find(request.group)?.readTurns(request) ?? {
        values: [],
        expired: [],
        lost: [],
        covered: request.turns.length,
      },
  );
}

/**
 * Whether a member's state can tell expired turns from lost values. After a restart it cannot until
 * it has applied all entries that it knows to be committed, since values may have been deleted then.
 */
function isStateRecentEnough(
  { applier, log }: ReplicatedGroup,
  { atIndex }: ReadTurnsRequest,
): boolean {
  if (atIndex === undefined) return false;
  return applier.appliedIndex >= Math.max(atIndex, log.savedCommitIndex);
}

/** Index up to which a member knows entries to be committed, in this process or an earlier one. */
function knownCommitIndex({ commitIndex, log }: ReplicatedGroup): number {
  return Math.max(commitIndex, log.savedCommitIndex);
}

/** Encoded inline values by turn id, in the order of the settlements. */
function inlineValuesOf(settlements: readonly Settlement[]): Map<string, Buffer> {
  const values = new Map<string, Buffer>();
  for (const { attempt, keep } of settlements) {
    if (keep && hasInlineValue(keep)) values.set(attempt, encodeTurnValue(keep));
  }
  return values;
}

/** Replaces an inline value by a reference, so that the leader does not replicate values in log entries. */
function withoutInlineValue(settlement: Settlement): Settlement {
  const { keep } = settlement;
  if (!keep || !hasInlineValue(keep)) return settlement;
  const { previousTurn, retentionMs } = keep;
  return { ...settlement, keep: { previousTurn, retentionMs } };
}

/** A reservation without what concerns only its leader. */
function replicatedPartOf({
  wantsHistory: _wantsHistory,
  mayReadElsewhere: _mayReadElsewhere,
  copyTargets: _copyTargets,
  keptInputBytes: _keptInputBytes,
  group: _group,
  ...reservation
}: ReserveRequest): Omit<ReserveCommand, 'kind' | 'nowMs'> {
  return reservation;
}

function withoutKeep({ keep: _, ...settlement }: Settlement): Settlement {
  return settlement;
}

function copyTargetsOf(group: ReplicatedGroup): CopyTargets {
  const { configuration, ownId, term } = group;
  const followers = votersOf(configuration).filter(({ id }) => id !== ownId);
  return {
    version: `${term}.${group.log.configurationIndex}`,
    addresses: followers.map(({ address }) => address),
  };
}

/** Rounded, since it is sent with each response, in milliseconds. */
function delayOf({ commandDelay }: ReplicatedGroup): number {
  return Math.round(commandDelay.meanMs);
}

/** For gateways that do not read from the response that a turn is not kept. */
function notKeptError(reason: NotKeptReason): LedgerOverloadedError {
  return new LedgerOverloadedError(`a turn is not kept: ${reason}`, {
    step: 'ledger.settle',
    retriable: true,
  });
}

function overloadedError(): LedgerOverloadedError {
  return new LedgerOverloadedError('reservation refused: memory limit reached', {
    step: 'ledger.reserve',
    retriable: true,
  });
}
