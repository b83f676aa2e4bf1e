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
import { createLogger } from '../../src/observability/index.js';
import { type Method, encodeValue } from '../../src/wire/index.js';
import { MemoryValues } from './memory-values.js';

export const MEMORY_LEDGER_ADDRESS = 'memory-ledger';

export class MemoryLedger implements PeerCaller {
  isUp = true;
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
    return { answer: this.answer(method.name, request) } as Response;
  }

  private answer(method: string, request: unknown): object {
    if (method === RESERVE.name) return this.reserve(request as ReserveRequest);
    if (method === SETTLE.name) return this.settle(request as SettleRequest);
    throw new Error(`no handler for ${method}`);
  }

  private reserve(request: ReserveRequest): object {
    const result = this.apply({ kind: 'reserve', ...request, nowMs: performance.now() })!;
    return this.reportsStreams ? result : { ...result, streamVersion: undefined };
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
