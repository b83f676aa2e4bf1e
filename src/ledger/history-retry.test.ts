/**
 * If the retry for the history of a reserved turn is rejected by the window, the error must not claim that the turn
 * is not reserved. Otherwise it would never be settled and its tokens would stay reserved.
 */
import { expect, it } from 'vitest';
import { sleep } from '../common/index.js';
import { GroupClient, GroupUnavailableError, type PeerCaller } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import type { Method } from '../wire/index.js';
import { HistoryNotReadError, type HistoryReader } from './history-reader.js';
import { LedgerClient } from './ledger-client.js';
import { NotReservedError } from './ledger-errors.js';
import { RESERVE, type ReserveRequest } from './messages.js';

const TURN = 'turn-2';
const SLOW_MS = 1_500;
const OTHERS = 20;

it('does not report a reserved turn as not reserved', async () => {
  const granted = new Set<string>();
  let isSlow = false;
  const peers: PeerCaller = {
    isConnected: () => true,
    async call<Request, Response>(
      _address: string,
      method: Method<Request, Response>,
      request: Request,
    ): Promise<Response> {
      if (method.name !== RESERVE.name) return { answer: { isSettled: true } } as Response;
      const { attempt, mayReadElsewhere, previousTurn } = request as ReserveRequest;
      await sleep(isSlow && attempt !== TURN ? SLOW_MS : 5);
      granted.add(attempt);
      const isNamed = mayReadElsewhere && previousTurn !== undefined;
      const historySource = isNamed ? { addresses: ['f1', 'f2'], atIndex: 1 } : undefined;
      return { answer: { outcome: 'granted', allowanceTokens: 0, historySource } } as Response;
    },
  };
  const histories = {
    read: async () => {
      await sleep(500);
      throw new HistoryNotReadError('none of 2 members returned the history', {
        step: 'test',
        retriable: true,
      });
    },
  } as unknown as HistoryReader;
  const groups = new GroupClient({ peers, addresses: ['m1'] });
  const client = new LedgerClient(groups, createLogger({}), 'gateway', histories);
  const reserve = (attempt: string, limitMs: number, previousTurn?: string): Promise<unknown> =>
    client
      .reserve(
        { program: attempt, attempt, mostTokens: 1, previousTurn, wantsHistory: true },
        limitMs,
        false,
      )
      .catch((error) => error);

  const turn = reserve(TURN, 900, 'turn-1');
  await sleep(50);
  isSlow = true;
  const others = Array.from({ length: OTHERS }, (_, index) => reserve(`other-${index}`, 3_000));
  const result = await turn;
  await Promise.all(others);
  expect(granted.has(TURN)).toBe(true);
  expect(result).toBeInstanceOf(GroupUnavailableError);
  expect(result).not.toBeInstanceOf(NotReservedError);
});
