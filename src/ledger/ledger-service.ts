/** Serves reservations and settlements on the process that leads the ledger group. */
import { monotonicMs } from '../common/index.js';
import { type ReplicatedGroup, answerAsLeader } from '../consensus/index.js';
import { type MethodRouter, encodeValue } from '../wire/index.js';
import type { LedgerCommand, ReserveResult } from './ledger-commands.js';
import type { LedgerStateMachine } from './ledger-state-machine.js';
import {
  RESERVE,
  type ReserveAnswer,
  type ReserveRequest,
  SETTLE,
  type SettleAnswer,
  type SettleRequest,
} from './messages.js';

export class LedgerService {
  private leadingSince = 0;
  private clockAtStart = 0;

  constructor(
    private readonly stateMachine: LedgerStateMachine,
    private readonly findGroup: () => ReplicatedGroup | undefined,
  ) {}

  registerHandlers(router: MethodRouter): void {
    router.handle(RESERVE, (request) =>
      answerAsLeader(this.findGroup(), (group) => this.reserve(group, request)),
    );
    router.handle(SETTLE, (request) =>
      answerAsLeader(this.findGroup(), (group) => this.settle(group, request)),
    );
  }

  private async reserve(group: ReplicatedGroup, request: ReserveRequest): Promise<ReserveAnswer> {
    const { wantsHistory, ...reservation } = request;
    const command: LedgerCommand = { kind: 'reserve', ...reservation, nowMs: this.nowMs(group) };
    const result = (await group.propose(encodeValue(command))) as ReserveResult;
    const { previousTurn } = request;
    if (result.outcome !== 'granted' || previousTurn === undefined || !wantsHistory) return result;
    return { ...result, history: this.stateMachine.turns.history(previousTurn) };
  }

  private async settle(
    group: ReplicatedGroup,
    { settlements }: SettleRequest,
  ): Promise<SettleAnswer> {
    const command: LedgerCommand = { kind: 'settle', settlements, nowMs: this.nowMs(group) };
    await group.propose(encodeValue(command));
    return { isSettled: true };
  }

  /** A clock that goes on from the state's where the leader before left it. */
  private nowMs(group: ReplicatedGroup): number {
    if (this.leadingSince !== group.leadingSince) {
      this.leadingSince = group.leadingSince;
      this.clockAtStart = this.stateMachine.clockMs;
    }
    return Math.round(this.clockAtStart + monotonicMs() - this.leadingSince);
  }
}
