/**
 * Drives a replicated ledger of real processes on this machine at some rates, and prints what a turn takes
 * there: time, processor time and bytes of the leader and of a follower.
 *
 *     node dist/lab/ledger/main.js TURNS_A_SECOND...
 *
 * In the environment: GW gateways (53), KEPT bytes of a kept turn (4300), WARM milliseconds before each measurement
 * (6000), HOST_FLAGS for the members' Node processes (none).
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
import type { CollectionFigures, LedgerHostSettings, LedgerHostUsage } from './ledger-host.js';

const HOST = fileURLToPath(new URL('ledger-host.js', import.meta.url));
const FIRST_PORT = 17_540;
const VOTERS = 5;
const GATEWAYS = Number(process.env.GW ?? 53);
const SECRET = 'measurement';
const KEPT_BYTES = Number(process.env.KEPT ?? 4_300);
/** One turn of so many is kept. */
const KEPT_ONE_IN = 3;
const WARM_UP_MS = Number(process.env.WARM ?? 6_000);
const MEASURED_MS = 6_000;
const TURN_MS = 100;

interface Times {
  reserve: number[];
  keep: number[];
  failed: number;
}

async function runTurn(client: LedgerClient, number: number, times: Times): Promise<void> {
  const attempt = `turn-${number}`.padEnd(32, '0');
  const program = `program-${number % 1_000}`.padEnd(32, '0');
  const request = { program, attempt, budgetTokens: 1e9, mostTokens: 100, wantsHistory: false };
  const startedAt = monotonicMs();
  try {
    await client.reserve(request, 1_000, false);
    times.reserve.push(monotonicMs() - startedAt);
    await sleep(TURN_MS);
    const settlement = { program, attempt, spentTokens: 10 };
    if (number % KEPT_ONE_IN !== 0) {
      client.settleLater(settlement);
      return;
    }
    const keptAt = monotonicMs();
    const input = Buffer.alloc(KEPT_BYTES - 100, number);
    const keep = { input, output: Buffer.alloc(100, number), retentionMs: 60_000 };
    await client.settle({ ...settlement, keep }, 1_000);
    times.keep.push(monotonicMs() - keptAt);
  } catch {
    times.failed += 1;
  }
}

let turns = 0;

async function load(clients: LedgerClient[], perSecond: number, forMs: number): Promise<Times> {
  const times: Times = { reserve: [], keep: [], failed: 0 };
  const startedAt = monotonicMs();
  const open: Promise<void>[] = [];
  for (let sent = 0; monotonicMs() - startedAt < forMs; sent += 1) {
    turns += 1;
    open.push(runTurn(clients[turns % clients.length]!, turns, times));
    await sleep(startedAt + ((sent + 1) * 1_000) / perSecond - monotonicMs());
  }
  await Promise.all(open);
  return times;
}

function describe(values: number[]): string {
  const sorted = [...values].sort((left, right) => left - right);
  const at = (share: number): string => (sorted[Math.floor(sorted.length * share)] ?? 0).toFixed(1);
  return `${at(0.5)} / ${at(0.95)}`;
}

async function measure(
  hosts: HostProcess[],
  clients: LedgerClient[],
  perSecond: number,
): Promise<void> {
  await load(clients, perSecond, WARM_UP_MS);
  const before = await Promise.all(hosts.map((host) => host.request<LedgerHostUsage>('usage')));
  const { reserve, keep, failed } = await load(clients, perSecond, MEASURED_MS);
  const after = await Promise.all(hosts.map((host) => host.request<LedgerHostUsage>('usage')));
  const seconds = MEASURED_MS / 1_000;
  const used = after.map(({ processorMs }, index) => processorMs - before[index]!.processorMs);
  const leader = after.findIndex(({ leads }) => leads);
  const followers = used.filter((_, index) => index !== leader);
  const sent = after[leader]!.voterBytes - before[leader]!.voterBytes;
  const syncs = after[leader]!.logSyncs / seconds;
  const collected = (kind: keyof CollectionFigures): string =>
    ((after[leader]!.collections[kind] - before[leader]!.collections[kind]) / seconds).toFixed(1);
  const perTurn = (used[leader]! / (perSecond * seconds)) * 1_000;
  console.log(
    `${perSecond} turns/s: reserve ${describe(reserve)} ms, keep ${describe(keep)} ms, failed ${failed}; ` +
      `leader ${(used[leader]! / seconds).toFixed(0)} ms/s (${perTurn.toFixed(0)} us a turn), ` +
      `followers ${followers.map((ms) => (ms / seconds).toFixed(0)).join(' ')} ms/s, ` +
      `to voters ${(sent / seconds / 1024).toFixed(0)} KiB/s, own syncs of entries ${syncs.toFixed(0)}/s, ` +
      `young collections ${collected('young')}/s ${collected('youngMs')} ms/s, ` +
      `others ${collected('whole')}/s ${collected('wholeMs')} ms/s`,
  );
}

async function main(rates: number[]): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'ledgegauge-ledger-'));
  const founders: Member[] = Array.from({ length: VOTERS }, (_, index) => ({
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
  const clients = Array.from({ length: GATEWAYS }, (_, index) => {
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
