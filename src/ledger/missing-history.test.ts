/**
 * Turns went on from turns whose values no member held any more. The leader said so, but its gateways asked the
 * members again and again until the calls' time was over, and logged "no leader answered", with what the last member
 * had said. Each such turn counted as a ledger that is away, so that turns beside it waited for it: beside five of them
 * a second 20 of 50 first turns were refused after 1.5 s; beside one, first turns that come every 0.4 s took up to 1.1 s.
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
/** A turn that waits for a member waits until that has been away for as long as the turn has left. */
const HELD_MS = USEFUL_MS / 2;
const ASK_AGAIN_MS = 250;

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

/** What a turn after the kept one gets: its history, or the error in words. */
async function goOn(client: LedgerClient, attempt: string): Promise<string> {
  try {
    const { history } = await client.reserve({ ...NEXT_TURN, attempt }, USEFUL_MS, false);
    return Buffer.from(history!).toString();
  } catch (error) {
    return describeError(error);
  }
}

/** Takes turns evenly for a while; returns what became of each. */
async function takeEvenly<Outcome>(
  intervalMs: number,
  take: (number: number) => Promise<Outcome>,
): Promise<Outcome[]> {
  const turns: Promise<Outcome>[] = [];
  const endsAt = monotonicMs() + FIRST_TURNS_MS;
  while (monotonicMs() < endsAt) {
    turns.push(take(turns.length));
    await sleep(intervalMs);
  }
  return Promise.all(turns);
}

/** How long a first turn took, in milliseconds, or `Infinity` where it was refused. */
async function takeFirstTurn(client: LedgerClient, number: number): Promise<number> {
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
  it('is refused for the reason that the leader gave, and at once', async () => {
    const { ledger, client } = await startLedger();
    await ledger.loseAtAll();
    const startedAt = monotonicMs();
    const refusal = await goOn(client, 'lost');
    expect(refusal).toContain('1 kept turns are held by no member that answered');
    expect(refusal).not.toContain('no leader');
    expect(monotonicMs() - startedAt).toBeLessThan(HELD_MS);
  });

  it.each([
    { name: 'many turns', lostEveryMs: 200, firstEveryMs: 50 },
    { name: 'few turns', lostEveryMs: 1_000, firstEveryMs: 400 },
  ])('does not hold up or refuse $name beside it', async ({ lostEveryMs, firstEveryMs }) => {
    const { ledger, client } = await startLedger();
    await ledger.loseAtAll();
    let longestOutageMs = 0;
    const watch = setInterval(() => {
      longestOutageMs = Math.max(longestOutageMs, client.expectedOutageMs);
    }, 10);
    const lost = takeEvenly(lostEveryMs, (number) => goOn(client, `lost-${number}`));
    const tookMs = await takeEvenly(firstEveryMs, (number) => takeFirstTurn(client, number));
    clearInterval(watch);
    await lost;
    // On simulated time, in the test of the client, these bounds are the time of one try, and 0.
    expect.soft(tookMs.filter((ms) => ms > HELD_MS)).toEqual([]);
    expect.soft(longestOutageMs).toBeLessThan(HELD_MS);
  });
});

describe('a turn whose history is held by a member that is away', () => {
  it('waits for that member within its own time', async () => {
    const { ledger, client } = await startLedger();
    const holder = await ledger.loseAtAllButOneFollower();
    const member = await ledger.cluster.crash(holder);
    const reply = goOn(client, 'waits');
    await sleep(400);
    await ledger.startMember(member);
    expect(await reply).toBe(KEPT_HISTORY.toString());
  });

  it('is refused at once where that member has come back without its disk', async () => {
    const { ledger, client } = await startLedger();
    const lost = await ledger.cluster.crash(await ledger.loseAtAllButOneFollower());
    await ledger.replace(lost);
    const startedAt = monotonicMs();
    const error = await missingErrorOf(client.reserve(NEXT_TURN, USEFUL_MS, false));
    expect(monotonicMs() - startedAt).toBeLessThan(HELD_MS);
    expect(error.message).toContain('every member answers');
  });

  it('is refused once that member has been away for longer than the turn has left', async () => {
    const { ledger, client } = await startLedger();
    await ledger.cluster.crash(await ledger.loseAtAllButOneFollower());
    const awaySince = monotonicMs();
    const steps = new ReservationTrace();
    const error = await missingErrorOf(client.reserve(NEXT_TURN, USEFUL_MS, false, steps));
    const awayMs = monotonicMs() - awaySince;
    expect(awayMs).toBeGreaterThan(HELD_MS - ASK_AGAIN_MS);
    expect(awayMs).toBeLessThan(USEFUL_MS);
    expect(error.message).toMatch(/another has been silent for \d+ ms/);
    expect(error.comeBackMs).toBeGreaterThan(HELD_MS - ASK_AGAIN_MS);
    const { group } = await ledger.cluster.waitLeader();
    expect(steps).toMatchObject({ failedStep: 'read-history', leader: group.leaderAddress });
    expect(steps.requestCount).toBeGreaterThan(1);
  });
});
