/**
 * A ledger whose store of kept turns is full must go on applying commands, since turns expire, which makes room, only with
 * commands. Its leader refuses further kept turns before they run.
 */
import { describe, expect, it, onTestFinished } from 'vitest';
import { startCluster } from '../../tests/support/consensus-cluster.js';
import {
  KEPT_TURN,
  LedgerCluster,
  LedgerMachine,
  NEXT_TURN,
} from '../../tests/support/ledger-cluster.js';
import { SimulatedFolder } from '../../tests/support/simulated-folder.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';
import type { ReplicatedGroup } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import { ValueStore } from '../value-store/index.js';
import { encodeValue } from '../wire/index.js';
import { TurnNotKeptError } from './ledger-errors.js';
import type { LedgerCommand } from './ledger-commands.js';

const SEGMENT_BYTES = 4 * 1024;
const QUOTA_BYTES = 10 * SEGMENT_BYTES;
const VALUE_BYTES = 2 * 1024;
/** Together twice as large as the quota. */
const TURNS = 40;
const RETENTION_MS = 1_000;
/** On the clock of the commands; later than the retention, its grace and the interval of sweeps. */
const EXPIRED_MS = 60_000;
const TIMEOUT_MS = 5_000;
const LIMIT_MS = 1_000;
/** Longer than the lag of the replicated clock at which a refusal advances it. */
const CLOCK_LAG_MS = 1_100;

function openStore(folder: SimulatedFolder): Promise<ValueStore> {
  return ValueStore.open({
    folder,
    logger: createLogger({ test: 'full-store' }),
    onFatal: (error) => expect(error).toBeUndefined(),
    quotaBytes: QUOTA_BYTES,
    segmentBytes: SEGMENT_BYTES,
    cacheBytes: VALUE_BYTES,
    maxPendingBytes: VALUE_BYTES,
  });
}

function propose(group: ReplicatedGroup, turn: number, nowMs: number): Promise<unknown> {
  const keep = { retentionMs: RETENTION_MS };
  const settlements = [{ program: 'p', attempt: `turn-${turn}`, spentTokens: 1, keep }];
  const command: LedgerCommand = { kind: 'settle', settlements, nowMs };
  return group.propose(encodeValue(command), [Buffer.alloc(VALUE_BYTES, turn)]);
}

async function expectInTime(what: string, work: Promise<unknown>): Promise<void> {
  let isDone = false;
  void work.then(() => (isDone = true));
  await waitUntil(what, () => isDone, TIMEOUT_MS);
}

// Guards against an applier that waits for room that only applying could make, for good and over restarts.
describe('a ledger whose store of kept turns is full', () => {
  it('applies commands, gets room as turns expire, and does so after a restart as well', async () => {
    const folder = new SimulatedFolder();
    let store = await openStore(folder);
    onTestFinished(() => store.close());
    const peers = { call: () => Promise.reject(new Error('no peers')) };
    const cluster = await startCluster({
      size: 1,
      createMachine: () => new LedgerMachine(peers, store),
    });
    const { member, group } = await cluster.waitLeader();
    const kept = Array.from({ length: TURNS }, (_, turn) => propose(group, turn, turn));
    await expectInTime('turns kept', Promise.all(kept));
    expect(store.hasRoomFor(VALUE_BYTES, 1)).toBe(false);
    await cluster.crash(member.id);
    await store.close();
    store = await openStore(folder);
    await cluster.start(member, false);
    const { group: restarted } = await cluster.waitLeader();
    await expectInTime('applied again', propose(restarted, TURNS, TURNS));
    await expectInTime('expired', propose(restarted, TURNS + 1, EXPIRED_MS));
    await expectInTime('swept', propose(restarted, TURNS + 2, 2 * EXPIRED_MS));
    await waitUntil('written', () => store.pendingBytes === 0, TIMEOUT_MS);
    expect(store.hasRoomFor(VALUE_BYTES, 1)).toBe(true);
  });
});

describe('the leader of a ledger without room', () => {
  it('refuses turns that would be kept, and no others', async () => {
    const ledger = await LedgerCluster.start();
    const client = ledger.createClient('gateway');
    ledger.setUsedShare(1);
    const turn = { program: 'p', attempt: 'a', mostTokens: 10, wantsHistory: false };
    const refused = await client.reserve({ ...turn, keptInputBytes: 100 }, LIMIT_MS, false);
    expect(refused.outcome).toBe('no-room');
    expect(ledger.leaderState.budgets.committedTokens('p')).toBe(0);
    const other = await client.reserve({ ...turn, attempt: 'b' }, LIMIT_MS, false);
    expect(other.outcome).toBe('granted');
    ledger.setUsedShare(0);
    const later = { ...turn, attempt: 'c', keptInputBytes: 100 };
    expect((await client.reserve(later, LIMIT_MS, false)).outcome).toBe('granted');
  });

  it('refuses first turns before turns that continue others, and these before it keeps none', async () => {
    const ledger = await LedgerCluster.start();
    const client = ledger.createClient('gateway');
    await client.settle(KEPT_TURN, LIMIT_MS);
    const outcomesAt = async (share: number): Promise<string[]> => {
      ledger.setUsedShare(share);
      const { previousTurn, ...first } = { ...NEXT_TURN, keptInputBytes: 100 };
      const turns = [
        { ...first, attempt: `first-${share}` },
        { ...first, attempt: `later-${share}`, previousTurn },
      ];
      const answers = turns.map((turn) => client.reserve(turn, LIMIT_MS, false));
      return (await Promise.all(answers)).map(({ outcome }) => outcome);
    };
    expect(await outcomesAt(0.84)).toEqual(['granted', 'granted']);
    expect(await outcomesAt(0.87)).toEqual(['no-room', 'granted']);
    expect(await outcomesAt(0.92)).toEqual(['no-room', 'no-room']);
    await client.settle({ ...KEPT_TURN, attempt: 'answered' }, LIMIT_MS);
    expect(ledger.leaderState.turns.has('answered')).toBe(true);
  });

  it('settles a turn that was answered without keeping it, and says so', async () => {
    const ledger = await LedgerCluster.start();
    const client = ledger.createClient('gateway');
    ledger.setUsedShare(1);
    const settled = client.settle(KEPT_TURN, LIMIT_MS);
    await expect(settled).rejects.toBeInstanceOf(TurnNotKeptError);
    expect(ledger.leaderState.budgets.committedTokens('p')).toBe(KEPT_TURN.spentTokens);
    ledger.setUsedShare(0);
    const next = await client.reserve(NEXT_TURN, LIMIT_MS, false);
    expect(next.outcome).toBe('unknown-predecessor');
  });

  it('advances the clock by which turns expire, although it refuses all turns', async () => {
    const ledger = await LedgerCluster.start();
    const client = ledger.createClient('gateway');
    const turn = { program: 'p', mostTokens: 10, wantsHistory: false, keptInputBytes: 100 };
    await client.reserve({ ...turn, attempt: 'a' }, LIMIT_MS, false);
    const before = ledger.leaderState.clockMs;
    ledger.setUsedShare(1);
    await sleep(CLOCK_LAG_MS);
    await client.reserve({ ...turn, attempt: 'b' }, LIMIT_MS, false);
    expect(ledger.leaderState.clockMs).toBeGreaterThanOrEqual(before + 1_000);
  });

  it('commits the settlements that come with a reservation that it refuses', async () => {
    const ledger = await LedgerCluster.start();
    const client = ledger.createClient('gateway');
    const turn = { program: 'p', mostTokens: 10, wantsHistory: false, keptInputBytes: 100 };
    await client.reserve({ ...turn, attempt: 'a' }, LIMIT_MS, false);
    ledger.setUsedShare(1);
    client.settleLater({ program: 'p', attempt: 'a', spentTokens: 4 });
    await client.reserve({ ...turn, attempt: 'b' }, LIMIT_MS, false);
    await waitUntil('settled', () => ledger.leaderState.budgets.committedTokens('p') === 4);
  });
});
