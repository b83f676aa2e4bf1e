/** The ledger of tests in one process: a state machine that any number of gateways ask, without members or a log. */
import type { PeerCaller } from '../../src/consensus/index.js';
import {
  type LedgerCommand,
  LedgerStateMachine,
  RESERVE,
  type ReserveRequest,
  SETTLE,
  type SettleRequest,
} from '../../src/ledger/index.js';
import { Deferred } from '../../src/common/index.js';
import { createLogger } from '../../src/observability/index.js';
import { type Method, encodeValue } from '../../src/wire/index.js';
import { MemoryValues } from './memory-values.js';

export const MEMORY_LEDGER_ADDRESS = 'memory-ledger';

/** What becomes of the settlements that keep turns. */
export type KeepBehaviour =
  | 'commit'
  /** No leader responds, and nothing is committed. */
  | 'fail'
  /** The settlement is committed, and the response is lost. */
  | 'lose-response';

export class MemoryLedger implements PeerCaller {
  isUp = true;
  keepBehaviour: KeepBehaviour = 'commit';
  /** Number of settlements that have waited for `releaseKeeps`. */
  heldKeeps = 0;
  private release: Deferred<void> | undefined;
  /** False for a leader of a release whose state machine records streams, but that does not report it. */
  reportsStreams = true;
  readonly state = new LedgerStateMachine({
    values: new MemoryValues(),
    readTurnsAt: () => Promise.reject(new Error('no other members')),
    logger: createLogger({ test: 'memory-ledger' }),
  });

  isConnected(): boolean {
    return this.isUp;
  }

  async call<Request, Response>(
    _address: string,
    method: Method<Request, Response>,
    request: Request,
  ): Promise<Response> {
    if (!this.isUp) throw new Error('no response');
    return { answer: await this.answer(method.name, request) } as Response;
  }

  /** Holds back the commit of turns that are kept, until `releaseKeeps`. */
  holdKeeps(): void {
    this.release = new Deferred<void>();
  }

  releaseKeeps(): void {
    this.release?.resolve();
    this.release = undefined;
  }

  private async answer(method: string, request: unknown): Promise<object> {
    if (method === RESERVE.name) return this.reserve(request as ReserveRequest);
    if (method !== SETTLE.name) throw new Error(`no handler for ${method}`);
    const settle = request as SettleRequest;
    if (!settle.settlements.some(({ keep }) => keep)) return this.settle(settle);
    return this.settleKept(settle);
  }

  private async settleKept(request: SettleRequest): Promise<object> {
    if (this.release) {
      this.heldKeeps += 1;
      await this.release.promise;
    }
    const response = this.keepBehaviour === 'fail' ? undefined : this.settle(request);
    if (!response || this.keepBehaviour === 'lose-response') throw new Error('no response');
    return response;
  }

  private async reserve(request: ReserveRequest): Promise<object> {
    const result = this.apply({ kind: 'reserve', ...request, nowMs: performance.now() })!;
    const { previousTurn, wantsHistory } = request;
    const history =
      previousTurn !== undefined && wantsHistory
        ? await this.state.external.read(previousTurn, [])
        : undefined;
    if (this.reportsStreams) return { ...result, history };
    return { ...result, history, streamVersion: undefined };
  }

  private settle({ settlements, streams }: SettleRequest): object {
    const recorded = this.reportsStreams ? streams : undefined;
    const nowMs = performance.now();
    const result = this.apply({ kind: 'settle', settlements, streams: recorded, nowMs });
    return { ...result, isSettled: true, recordedStreams: recorded?.length };
  }

  private apply(command: LedgerCommand): ReturnType<LedgerStateMachine['apply']> {
    return this.state.apply(encodeValue(command));
  }
}
