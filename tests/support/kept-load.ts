/** Load of gateways that store kept turns of equal size at a constant rate, over links with limited bandwidth. */
import type { LedgerClient } from '../../src/ledger/ledger-client.js';
import { monotonicMs, sleep } from '../../src/common/index.js';
import { LedgerCluster } from './ledger-cluster.js';
import { MeteredLinks } from './metered-links.js';

const BYTES_PER_SECOND = 47e6 / 8;
const LATENCY_MS = 1;
const TIMING = { heartbeatIntervalMs: 60, electionTimeoutMs: 300, startupElectionTimeoutMs: 40 };
const GATEWAYS = 20;
const TURN_BYTES = 17_000;
/** Four copies of these turns use 0.9 of the bandwidth of the leader's link. */
export const REGULAR_TURNS_PER_SECOND = 75;
/** One copy of these turns uses 0.43 of the bandwidth of the leader's link. */
export const BURST_TURNS_PER_SECOND = 150;
/** Ten times the duration on an idle link. */
const KEEP_LATENCY_LIMIT_MS = 200;
const TURN_TIMEOUT_MS = 1_000;
/** Time to recover after a disturbance, in milliseconds. */
export const RECOVERY_MS = 2_000;

interface KeptTurnRecord {
  sentAt: number;
  /** Undefined if it was not kept. */
  tookMs?: number;
}

export class KeptLoad {
  private readonly turns: KeptTurnRecord[] = [];
  private readonly clients: LedgerClient[];
  private readonly pending: Promise<void>[] = [];

  constructor(ledger: LedgerCluster) {
    const names = Array.from({ length: GATEWAYS }, (_, index) => `gateway-${index}`);
    this.clients = names.map((name) => ledger.createClient(name));
  }

  async send(perSecond: number, forMs: number): Promise<void> {
    const startedAt = monotonicMs();
    for (let sent = 0; monotonicMs() - startedAt < forMs; sent += 1) {
      this.pending.push(this.keepTurn());
      await sleep(startedAt + ((sent + 1) * 1_000) / perSecond - monotonicMs());
    }
  }

  async waitForAll(): Promise<void> {
    await Promise.all(this.pending);
  }

  /** Share of the turns sent in an interval that were kept in time. */
  shareInTimeBetween(from: number, to: number): number {
    const matching = this.turns.filter(({ sentAt }) => sentAt >= from && sentAt < to);
    return (
      matching.filter(({ tookMs = Infinity }) => tookMs <= KEEP_LATENCY_LIMIT_MS).length /
      matching.length
    );
  }

  /** Bytes of the turns sent in an interval that were kept. */
  keptBytesBetween(from: number, to: number): number {
    const matching = this.turns.filter(({ sentAt }) => sentAt >= from && sentAt < to);
    return matching.filter(({ tookMs }) => tookMs !== undefined).length * TURN_BYTES;
  }

  private async keepTurn(): Promise<void> {
    const record: KeptTurnRecord = { sentAt: monotonicMs() };
    const number = this.turns.push(record);
    const client = this.clients[number % GATEWAYS]!;
    const input = Buffer.alloc(TURN_BYTES, number);
    const keep = { input, output: Buffer.from('data: o\n'), retentionMs: 60_000 };
    const settlement = { program: `p${number}`, attempt: `t${number}`, spentTokens: 1, keep };
    try {
      await client.settle(settlement, TURN_TIMEOUT_MS);
      record.tookMs = monotonicMs() - record.sentAt;
    } catch {
      // The record stays without a duration and so counts as not kept.
    }
  }
}

/** Starts a ledger with five voters and three learners. */
export async function startMeteredLedger(): Promise<{
  ledger: LedgerCluster;
  links: MeteredLinks;
}> {
  const links = new MeteredLinks({ bytesPerSecond: BYTES_PER_SECOND, latencyMs: LATENCY_MS });
  const ledger = await LedgerCluster.start({ voters: 5, learners: 3, links, consensus: TIMING });
  return { ledger, links };
}
