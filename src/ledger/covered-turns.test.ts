/** Turns that an allowance covers wait for no command of the ledger before they begin. */
import { describe, expect, it } from 'vitest';
import { GroupClient, type PeerCaller } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import type { Method } from '../wire/index.js';
import { LedgerClient } from './ledger-client.js';
import { RESERVE } from './messages.js';
import type { ReservedStream } from './stream-versions.js';

const MOST_TOKENS = 100;
const ALLOWANCE_TOKENS = 200;
const BUDGET_TOKENS = 1_000;
const LIMIT_MS = 1_000;

class CountingLedger implements PeerCaller {
  reservations = 0;

  isConnected(): boolean {
    return true;
  }

  async call<Request, Response>(
    _address: string,
    method: Method<Request, Response>,
  ): Promise<Response> {
    const isReservation = method.name === RESERVE.name;
    if (isReservation) this.reservations += 1;
    const answer = isReservation
      ? { outcome: 'granted', allowanceTokens: ALLOWANCE_TOKENS }
      : { isSettled: true, allowanceTokens: ALLOWANCE_TOKENS };
    return { answer } as Response;
  }
}

function startGateway(): { ledger: CountingLedger; client: LedgerClient } {
  const ledger = new CountingLedger();
  const groups = new GroupClient({ peers: ledger, addresses: ['leader'] });
  return { ledger, client: new LedgerClient(groups, createLogger({}), 'gateway') };
}

function turn(attempt: string): Parameters<LedgerClient['reserve']>[0] {
  const tokens = { budgetTokens: BUDGET_TOKENS, mostTokens: MOST_TOKENS };
  return { program: 'p', attempt, ...tokens, wantsHistory: false };
}

describe('a turn of a program with an allowance', () => {
  it('begins without a reservation while the allowance lasts', async () => {
    const { ledger, client } = startGateway();
    await client.reserve(turn('a'), LIMIT_MS, true);
    for (const attempt of ['b', 'c']) {
      const { allowanceTaken } = await client.reserve(turn(attempt), LIMIT_MS, true);
      expect(allowanceTaken).toBe(MOST_TOKENS);
    }
    expect(ledger.reservations).toBe(1);
    expect((await client.reserve(turn('d'), LIMIT_MS, true)).allowanceTaken).toBeUndefined();
    expect(ledger.reservations).toBe(2);
  });

  it('begins without a reservation as long as settlements renew the allowance', async () => {
    const { ledger, client } = startGateway();
    await client.reserve(turn('a'), LIMIT_MS, true);
    for (const attempt of ['b', 'c', 'd', 'e']) {
      const { allowanceTaken = 0 } = await client.reserve(turn(attempt), LIMIT_MS, true);
      const settlement = { program: 'p', attempt, spentTokens: MOST_TOKENS };
      const nextTurn = { budgetTokens: BUDGET_TOKENS, mostTokens: MOST_TOKENS };
      await client.settle(client.drawFromAllowance(settlement, allowanceTaken), LIMIT_MS, nextTurn);
    }
    expect(ledger.reservations).toBe(1);
  });

  it('is reserved if its history has to be read from the ledger', async () => {
    const { ledger, client } = startGateway();
    await client.reserve(turn('a'), LIMIT_MS, true);
    await client.reserve(turn('b'), LIMIT_MS, false);
    expect(ledger.reservations).toBe(2);
  });

  it('is reserved if it begins a stream whose version the ledger records', async () => {
    const { ledger, client } = startGateway();
    await client.reserve(turn('a'), LIMIT_MS, true);
    const stream: ReservedStream = { kind: 'begin', versions: ['v1'], keepMs: LIMIT_MS };
    await client.reserve({ ...turn('b'), stream }, LIMIT_MS, true);
    expect(ledger.reservations).toBe(2);
  });
});
