/** Replication of the values of kept turns, which log entries only refer to. */
import { beforeEach, describe, expect, it, vi } from 'vitest';
import {
  KEPT_HISTORY,
  KEPT_TURN,
  LedgerCluster,
  NEXT_TURN,
  ledgerTestLogger,
} from '../../tests/support/ledger-cluster.js';
import { simulateTime } from '../../tests/support/simulated-time.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { GroupClient, callLeader } from '../consensus/index.js';
import { LedgerClient } from './ledger-client.js';
import { LEDGER_GROUP } from './ledger-groups.js';
import { RESERVE, TAKE_COPY } from './messages.js';

vi.mock('node:fs/promises', () => import('../../tests/support/memory-files.js'));

const SEED = 1;
const LIMITS = { timeoutMs: 5_000 };
const VOTERS = 5;
const QUORUM = 3;

function countCopies(ledger: LedgerCluster): number {
  const { requests } = ledger.cluster.network;
  return ledger.addresses.reduce(
    (sum, address) => sum + (requests.get(`${address} ${TAKE_COPY.name}`) ?? 0),
    0,
  );
}

function countHolders(ledger: LedgerCluster): number {
  return ledger.cluster.members.filter(({ member }) =>
    ledger.hasValue(member.id, KEPT_TURN.attempt),
  ).length;
}

/** Whether all members have acknowledged all entries of the leader, and so have written them to their logs. */
function isLoggedByAll(ledger: LedgerCluster): boolean {
  const { leader, members } = ledger.cluster;
  if (!leader) return false;
  const { group } = leader;
  const followers = members.filter(({ member }) => member.id !== leader.member.id);
  return followers.every(({ member }) => group.matchIndexOf(member.id) === group.log.lastIndex);
}

beforeEach(() => simulateTime(SEED));

describe('the value of a kept turn', () => {
  it('is on a majority once its settlement is acknowledged', async () => {
    const ledger = await LedgerCluster.start({ voters: VOTERS });
    const client = ledger.createClient('gateway');
    await client.settle(KEPT_TURN, LIMITS.timeoutMs);
    expect(countHolders(ledger)).toBeGreaterThanOrEqual(QUORUM);
    await waitUntil('with all', () => countHolders(ledger) === VOTERS);
  });

  it('is sent by its gateway to the followers that the leader listed', async () => {
    const ledger = await LedgerCluster.start({ voters: VOTERS });
    const client = ledger.createClient('gateway');
    const first = { program: 'p', attempt: 'turn-1', mostTokens: 10, wantsHistory: false };
    await client.reserve(first, LIMITS.timeoutMs, false);
    await client.settle(KEPT_TURN, LIMITS.timeoutMs);
    expect(countCopies(ledger)).toBe(VOTERS - 1);
  });

  it('reaches members whose copies were lost', async () => {
    const ledger = await LedgerCluster.start({ voters: VOTERS });
    const leader = await ledger.cluster.waitLeader();
    const client = ledger.createClient('gateway');
    const first = { program: 'p', attempt: 'turn-1', mostTokens: 10, wantsHistory: false };
    await client.reserve(first, LIMITS.timeoutMs, false);
    for (const address of ledger.addresses) {
      if (address !== leader.member.address) ledger.cluster.network.cut('gateway', address);
    }
    await client.settle(KEPT_TURN, LIMITS.timeoutMs);
    expect(countHolders(ledger)).toBeGreaterThanOrEqual(QUORUM);
    await waitUntil('with all', () => countHolders(ledger) === VOTERS);
  });

  it('is readable through the next leader after the previous one was lost permanently', async () => {
    const ledger = await LedgerCluster.start({ voters: VOTERS });
    const { cluster, addresses } = ledger;
    const client = ledger.createClient('gateway');
    await client.settle(KEPT_TURN, LIMITS.timeoutMs);
    const { member } = await cluster.waitLeader();
    await cluster.deleteDisk(await cluster.crash(member.id));
    await cluster.waitLeader(member.id);
    const groups = new GroupClient({ peers: cluster.network.peersOf('other'), addresses });
    const { outcome, history } = await callLeader(groups, LEDGER_GROUP, RESERVE, NEXT_TURN, LIMITS);
    expect(outcome).toBe('granted');
    expect(Buffer.from(history!)).toEqual(KEPT_HISTORY);
  });

  it('is restored from the log of a member that stops before its store has written it', async () => {
    const ledger = await LedgerCluster.start({ voters: VOTERS });
    const client = ledger.createClient('gateway');
    await client.settle(KEPT_TURN, LIMITS.timeoutMs);
    await waitUntil('with all', () => countHolders(ledger) === VOTERS);
    // A member may hold a copy in memory before its log has the entry, and loses it when it stops then.
    await waitUntil('logged by all', () => isLoggedByAll(ledger));
    for (const { member } of ledger.cluster.members) await ledger.cluster.crash(member.id);
    await ledger.restartAll();
    expect(countHolders(ledger)).toBe(VOTERS);
  });

  it('reaches learners, which receive no copies', async () => {
    const ledger = await LedgerCluster.start({ learners: 2 });
    const client = ledger.createClient('gateway');
    await client.settle(KEPT_TURN, LIMITS.timeoutMs);
    await waitUntil('with learners', () => countHolders(ledger) === ledger.cluster.members.length);
  });

  it('is replicated for a gateway that sends no copies', async () => {
    const ledger = await LedgerCluster.start({ voters: VOTERS });
    const { network } = ledger.cluster;
    const groups = new GroupClient({
      peers: network.peersOf('gateway'),
      addresses: ledger.addresses,
    });
    const client = new LedgerClient(groups, ledgerTestLogger, 'gateway');
    await client.settle(KEPT_TURN, LIMITS.timeoutMs);
    await waitUntil('with all', () => countHolders(ledger) === VOTERS);
  });
});
