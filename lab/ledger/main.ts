/**
 * Runs turns against a replicated ledger of local processes at given rates. Prints the latency of turns, processor
 * time of leader and followers, replication traffic, log syncs and garbage collections.
 *
 *     node dist/lab/ledger/main.js TURNS_A_SECOND...
 *
 * Environment variables, with their defaults:
 *
 * - GW: number of gateways (53)
 * - KEPT: bytes per kept turn (4300)
 * - WARM: warm-up before each measurement in milliseconds (6000)
 * - HOST_FLAGS: Node flags of the member processes (none)
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { monotonicMs, sleep } from '../../src/common/index.js';
import { GroupClient, type Member, PeerDirectory } from '../../src/consensus/index.js';
import { HistoryReader, LedgerClient, ValueCopySender } from '../../src/ledger/index.js';
import { MethodRouter } from '../../src/wire/index.js';
import { HostProcess } from '../host-process.js';
import { SILENT_LOGGER } from '../silent-logger.js';
import type { CollectionStats, LedgerHostSettings, LedgerHostUsage } from './ledger-host.js';

const HOST = fileURLToPath(new URL('ledger-host.js', import.meta.url));
const FIRST_PORT = 17_540;
const VOTER_COUNT = 5;
const GATEWAY_COUNT = Number(process.env.GW ?? 53);
const SECRET = 'measurement';
const KEPT_BYTES = Number(process.env.KEPT ?? 4_300);
/** One in this many turns is kept. */
const KEPT_TURN_INTERVAL = 3;
const WARM_UP_MS = Number(process.env.WARM ?? 6_000);
const MEASUREMENT_MS = 6_000;
const TURN_DURATION_MS = 100;

interface TurnResults {
  reserve: number[];
  keep: number[];
  failed: number;
}

async function runTurn(client: LedgerClient, number: number, results: TurnResults): Promise<void> {
  const attempt = `turn-${number}`.padEnd(32, '0');
  const program = `program-${number % 1_000}`.padEnd(32, '0');
  const request = { program, attempt, budgetTokens: 1e9, mostTokens: 100, wantsHistory: false };
  const startedAt = monotonicMs();
  try {
    await client.reserve(request, 1_000, false);
    results.reserve.push(monotonicMs() - startedAt);
    await sleep(TURN_DURATION_MS);
    const settlement = { program, attempt, spentTokens: 10 };
    if (number % KEPT_TURN_INTERVAL !== 0) {
      client.settleLater(settlement);
      return;
    }
    const keptAt = monotonicMs();
    const input = Buffer.alloc(KEPT_BYTES - 100, number);
    const keep = { input, output: Buffer.alloc(100, number), retentionMs: 60_000 };
    await client.settle({ ...settlement, keep }, 1_000);
    results.keep.push(monotonicMs() - keptAt);
  } catch {
    results.failed += 1;
  }
}

let startedTurns = 0;

async function runTurns(
  clients: LedgerClient[],
  perSecond: number,
  durationMs: number,
): Promise<TurnResults> {
  const results: TurnResults = { reserve: [], keep: [], failed: 0 };
  const startedAt = monotonicMs();
  const pending: Promise<void>[] = [];
  for (let sent = 0; monotonicMs() - startedAt < durationMs; sent += 1) {
    startedTurns += 1;
    pending.push(runTurn(clients[startedTurns % clients.length]!, startedTurns, results));
    await sleep(startedAt + ((sent + 1) * 1_000) / perSecond - monotonicMs());
  }
  await Promise.all(pending);
  return results;
}

function formatPercentiles(values: number[]): string {
  const sorted = [...values].sort((left, right) => left - right);
  const percentile = (fraction: number): string =>
    (sorted[Math.floor(sorted.length * fraction)] ?? 0).toFixed(1);
  return `${percentile(0.5)} / ${percentile(0.95)}`;
}

async function measure(
  hosts: HostProcess[],
  clients: LedgerClient[],
  perSecond: number,
): Promise<void> {
  await runTurns(clients, perSecond, WARM_UP_MS);
  const before = await Promise.all(hosts.map((host) => host.request<LedgerHostUsage>('usage')));
  const { reserve, keep, failed } = await runTurns(clients, perSecond, MEASUREMENT_MS);
  const after = await Promise.all(hosts.map((host) => host.request<LedgerHostUsage>('usage')));
  const seconds = MEASUREMENT_MS / 1_000;
  const usedMs = after.map(({ processorMs }, index) => processorMs - before[index]!.processorMs);
  const leader = after.findIndex(({ leads }) => leads);
  const followers = usedMs.filter((_, index) => index !== leader);
  const sentBytes = after[leader]!.voterBytes - before[leader]!.voterBytes;
  const syncs = after[leader]!.logSyncs / seconds;
  const collectionRate = (kind: keyof CollectionStats): string =>
    ((after[leader]!.collections[kind] - before[leader]!.collections[kind]) / seconds).toFixed(1);
  const microsecondsPerTurn = (usedMs[leader]! / (perSecond * seconds)) * 1_000;
  console.log(
    `${perSecond} turns/s: reserve ${formatPercentiles(reserve)} ms, keep ${formatPercentiles(keep)} ms, failed ${failed}; ` +
      `leader ${(usedMs[leader]! / seconds).toFixed(0)} ms/s (${microsecondsPerTurn.toFixed(0)} us a turn), ` +
      `followers ${followers.map((ms) => (ms / seconds).toFixed(0)).join(' ')} ms/s, ` +
      `to voters ${(sentBytes / seconds / 1024).toFixed(0)} KiB/s, own syncs of entries ${syncs.toFixed(0)}/s, ` +
      `young collections ${collectionRate('young')}/s ${collectionRate('youngMs')} ms/s, ` +
      `others ${collectionRate('whole')}/s ${collectionRate('wholeMs')} ms/s`,
  );
}

async function main(rates: number[]): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'ledgegauge-ledger-'));
  const founders: Member[] = Array.from({ length: VOTER_COUNT }, (_, index) => ({
    id: `m${index}-id`,
    name: `m${index}`,
    address: `127.0.0.1:${FIRST_PORT + index}`,
    role: 'voter',
  }));
  const flags = process.env.HOST_FLAGS?.split(' ') ?? [];
  const hosts = await Promise.all(
    founders.map((member, index) =>
      HostProcess.start<LedgerHostSettings>(
        HOST,
        {
          member,
          founders,
          folder: join(folder, `m${index}`),
          secret: SECRET,
          toleratedLosses: 2,
        },
        flags,
      ),
    ),
  );
  const addresses = founders.map(({ address }) => address);
  const clients = Array.from({ length: GATEWAY_COUNT }, (_, index) => {
    const peers = new PeerDirectory({
      ownName: `gateway-${index}`,
      secret: SECRET,
      router: new MethodRouter(),
      resolveAddress: (address) => address,
    });
    const groups = new GroupClient({ peers, addresses });
    const histories = new HistoryReader(peers, SILENT_LOGGER);
    return new LedgerClient(
      groups,
      SILENT_LOGGER,
      `holder-${index}`,
      histories,
      new ValueCopySender(peers),
    );
  });
  for (const rate of rates) await measure(hosts, clients, rate);
  await Promise.all(hosts.map((host) => host.stop()));
  await rm(folder, { recursive: true, force: true });
  process.exit(0);
}

await main(process.argv.slice(2).map(Number));
