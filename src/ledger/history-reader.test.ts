/** Histories must be read from followers, since sending them from the leader delays commits on its link. */
import { describe, expect, it } from 'vitest';
import {
  KEPT_HISTORY,
  KEPT_TURN,
  LedgerCluster,
  NEXT_TURN,
  ledgerTestLogger,
} from '../../tests/support/ledger-cluster.js';
import { GroupClient, callLeader } from '../consensus/index.js';
import { HistoryNotReadError } from './history-reader.js';
import { LedgerClient } from './ledger-client.js';
import { LEDGER_GROUP } from './ledger-groups.js';
import { RESERVE, type ReserveResponse, SETTLE } from './messages.js';

const LIMITS = { timeoutMs: 5_000 };

async function startLedger(): Promise<{ ledger: LedgerCluster; groups: GroupClient }> {
  const ledger = await LedgerCluster.start();
  const peers = ledger.cluster.network.peersOf('gateway');
  const groups = new GroupClient({ peers, addresses: ledger.addresses });
  await callLeader(groups, LEDGER_GROUP, SETTLE, { settlements: [KEPT_TURN] }, LIMITS);
  return { ledger, groups };
}

describe('a history', () => {
  function reserve(groups: GroupClient, mayReadElsewhere: boolean): Promise<ReserveResponse> {
    const request = { ...NEXT_TURN, mayReadElsewhere };
    return callLeader(groups, LEDGER_GROUP, RESERVE, request, LIMITS);
  }

  it('is read from a follower that the leader lists', async () => {
    const { ledger, groups } = await startLedger();
    const { outcome, history, historySource } = await reserve(groups, true);
    expect({ outcome, history }).toEqual({ outcome: 'granted', history: undefined });
    const reader = ledger.createReader();
    const read = await reader.read(KEPT_TURN.attempt, historySource!, LIMITS.timeoutMs);
    expect(Buffer.from(read.history)).toEqual(KEPT_HISTORY);
    expect(historySource!.addresses).toContain(read.address);
    expect(ledger.sentBy(true)).toBe(0);
    expect(ledger.sentBy(false)).toBe(KEPT_HISTORY.length);
  });

  it('is sent by the leader on request after no follower returned it', async () => {
    const { ledger, groups } = await startLedger();
    await ledger.deleteAtFollowers();
    const { historySource } = await reserve(groups, true);
    const reader = ledger.createReader();
    const reading = reader.read(KEPT_TURN.attempt, historySource!, LIMITS.timeoutMs);
    await expect(reading).rejects.toBeInstanceOf(HistoryNotReadError);
    const { history } = await reserve(groups, false);
    expect(Buffer.from(history!)).toEqual(KEPT_HISTORY);
    expect(ledger.sentBy(true)).toBe(KEPT_HISTORY.length);
  });
});

describe("a gateway's reservation", () => {
  async function reserveAsGateway(
    ledger: LedgerCluster,
    groups: GroupClient,
  ): Promise<Uint8Array | undefined> {
    const client = new LedgerClient(groups, ledgerTestLogger, 'gateway', ledger.createReader());
    const answer = await client.reserve(NEXT_TURN, LIMITS.timeoutMs, false);
    expect(answer.outcome).toBe('granted');
    return answer.history;
  }

  it('reads the history from a follower, and not from the leader', async () => {
    const { ledger, groups } = await startLedger();
    expect(Buffer.from((await reserveAsGateway(ledger, groups))!)).toEqual(KEPT_HISTORY);
    expect(ledger.sentBy(true)).toBe(0);
    expect(ledger.sentBy(false)).toBe(KEPT_HISTORY.length);
  });

  it('reads the history from the leader if no follower holds it', async () => {
    const { ledger, groups } = await startLedger();
    await ledger.deleteAtFollowers();
    expect(Buffer.from((await reserveAsGateway(ledger, groups))!)).toEqual(KEPT_HISTORY);
    expect(ledger.sentBy(true)).toBe(KEPT_HISTORY.length);
  });
});
