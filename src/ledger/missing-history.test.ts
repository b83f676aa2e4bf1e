/**
 * A turn whose history no member holds must be refused at once for that reason. It must not be retried as if the ledger
 * were unavailable, nor delay other turns.
 */
import { describe, expect, it } from 'vitest';
import {
  KEPT_HISTORY,
  KEPT_TURN,
  LedgerCluster,
  NEXT_TURN,
} from '../../tests/support/ledger-cluster.js';
import { describeError, monotonicMs, sleep } from '../common/index.js';
import type { LedgerClient } from './ledger-client.js';
import { HistoryMissingError } from './ledger-errors.js';
import { ReservationTrace } from './reservation-trace.js';

const USEFUL_MS = 1_500;
const FIRST_TURNS_MS = 2_500;
/** A turn waits for a member until its remaining time is no longer than the member's absence: half of its time. */
const MAX_WAIT_MS = USEFUL_MS / 2;
const RETRY_DELAY_MS = 250;

async function startLedger(): Promise<{ ledger: LedgerCluster; client: LedgerClient }> {
  const ledger = await LedgerCluster.start();
  const client = ledger.createClient('gateway');
  await client.settle(KEPT_TURN, 5_000);
  return { ledger, client };
}

async function missingErrorOf(reserved: Promise<unknown>): Promise<HistoryMissingError> {
  const error = await reserved.catch((reason: unknown) => reason);
  expect(error).toBeInstanceOf(HistoryMissingError);
  return error as HistoryMissingError;
}

/** Continues the kept turn. @returns the history, or the description of the error */
async function continueTurn(client: LedgerClient, attempt: string): Promise<string> {
  try {
    const { history } = await client.reserve({ ...NEXT_TURN, attempt }, USEFUL_MS, false);
    return Buffer.from(history!).toString();
  } catch (error) {
    return describeError(error);
  }
}

/** Runs turns at a constant rate and returns their outcomes. */
async function runAtRate<Outcome>(
  intervalMs: number,
  run: (number: number) => Promise<Outcome>,
): Promise<Outcome[]> {
  const turns: Promise<Outcome>[] = [];
  const endsAt = monotonicMs() + FIRST_TURNS_MS;
  while (monotonicMs() < endsAt) {
    turns.push(run(turns.length));
    await sleep(intervalMs);
  }
  return Promise.all(turns);
}

/** Duration of a turn without history, in milliseconds, or `Infinity` if it was refused. */
async function runFirstTurn(client: LedgerClient, number: number): Promise<number> {
  const program = `first-${number}`;
  const request = { program, attempt: program, mostTokens: 1, wantsHistory: true };
  const startedAt = monotonicMs();
  try {
    await client.reserve(request, USEFUL_MS, false);
    client.settleLater({ program, attempt: program, spentTokens: 1 });
    return monotonicMs() - startedAt;
  } catch {
    return Infinity;
  }
}

describe('a turn whose history no member holds', () => {
  it('is refused at once with the reason that the leader gave', async () => {
    const { ledger, client } = await startLedger();
    await ledger.deleteAtAll();
    const startedAt = monotonicMs();
    const refusal = await continueTurn(client, 'lost');
    expect(refusal).toContain('1 kept turns are held by no member that answered');
    expect(refusal).not.toContain('no leader');
    expect(monotonicMs() - startedAt).toBeLessThan(MAX_WAIT_MS);
  });

  it.each([
    { name: 'many turns', lostEveryMs: 200, firstEveryMs: 50 },
    { name: 'few turns', lostEveryMs: 1_000, firstEveryMs: 400 },
  ])('neither delays nor refuses other turns ($name)', async ({ lostEveryMs, firstEveryMs }) => {
    const { ledger, client } = await startLedger();
    await ledger.deleteAtAll();
    let longestOutageMs = 0;
    const watch = setInterval(() => {
      longestOutageMs = Math.max(longestOutageMs, client.expectedOutageMs);
    }, 10);
    const lost = runAtRate(lostEveryMs, (number) => continueTurn(client, `lost-${number}`));
    const tookMs = await runAtRate(firstEveryMs, (number) => runFirstTurn(client, number));
    clearInterval(watch);
    await lost;
    // The client test checks stricter bounds in simulated time.
    expect.soft(tookMs.filter((ms) => ms > MAX_WAIT_MS)).toEqual([]);
    expect.soft(longestOutageMs).toBeLessThan(MAX_WAIT_MS);
  });
});

describe('a turn whose history is held by an unreachable member', () => {
  it('waits for that member within its time limit', async () => {
    const { ledger, client } = await startLedger();
    const holder = await ledger.deleteAtAllButOneFollower();
    const member = await ledger.cluster.crash(holder);
    const reply = continueTurn(client, 'waits');
    await sleep(400);
    await ledger.restartMember(member);
    expect(await reply).toBe(KEPT_HISTORY.toString());
  });

  it('is refused at once if that member returned without its disk', async () => {
    const { ledger, client } = await startLedger();
    const lost = await ledger.cluster.crash(await ledger.deleteAtAllButOneFollower());
    await ledger.replace(lost);
    const startedAt = monotonicMs();
    const error = await missingErrorOf(client.reserve(NEXT_TURN, USEFUL_MS, false));
    expect(monotonicMs() - startedAt).toBeLessThan(MAX_WAIT_MS);
    expect(error.message).toContain('every member answers');
  });

  it('is refused once that member has been away for longer than the remaining time', async () => {
    const { ledger, client } = await startLedger();
    await ledger.cluster.crash(await ledger.deleteAtAllButOneFollower());
    const awaySince = monotonicMs();
    const trace = new ReservationTrace();
    const error = await missingErrorOf(client.reserve(NEXT_TURN, USEFUL_MS, false, trace));
    const awayMs = monotonicMs() - awaySince;
    expect(awayMs).toBeGreaterThan(MAX_WAIT_MS - RETRY_DELAY_MS);
    expect(awayMs).toBeLessThan(USEFUL_MS);
    expect(error.message).toMatch(/another has been silent for \d+ ms/);
    expect(error.comeBackMs).toBeGreaterThan(MAX_WAIT_MS - RETRY_DELAY_MS);
    const { group } = await ledger.cluster.waitLeader();
    expect(trace).toMatchObject({ failedStep: 'read-history', leader: group.leaderAddress });
    expect(trace.requestCount).toBeGreaterThan(1);
  });
});
