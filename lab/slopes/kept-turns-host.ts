/**
 * A process that keeps turns on disk as a journal does, and measures what they take: memory, disk,
 * the time of a start, and the time that a new member needs to fetch them over a loopback link.
 *
 *     node kept-turns-host.js TURNS BYTES_EACH FOLDER
 */
import { join } from 'node:path';
import { monotonicMs, sleep } from '../../src/common/index.js';
import { LedgerStateMachine, READ_TURNS } from '../../src/ledger/index.js';
import { ValueStore, openStoreFolder } from '../../src/value-store/index.js';
import { MethodRouter, PeerLink, RpcServer, encodeValue } from '../../src/wire/index.js';
import { SILENT_LOGGER } from '../silent-logger.js';
import { usedBytes } from './used-bytes.js';

/** What was measured; times in milliseconds. */
export interface KeptTurnsFigures {
  /** Heap and buffers that all turns together take, less the cache. */
  memoryBytes: number;
  diskBytes: number;
  snapshotBytes: number;
  startMs: number;
  catchUpMs: number;
}

const SECRET = 'measurement';
const RETENTION_MS = 3_600_000;
const CACHE_BYTES = 1024 * 1024;
const CALL_TIMEOUT_MS = 10_000;

interface Member {
  values: ValueStore;
  state: LedgerStateMachine;
}

async function openMember(
  folder: string,
  readTurnsAt: ConstructorParameters<typeof LedgerStateMachine>[0]['readTurnsAt'],
): Promise<Member> {
  const values = await ValueStore.open({
    folder: await openStoreFolder(folder),
    logger: SILENT_LOGGER,
    cacheBytes: CACHE_BYTES,
    onFatal: (error) => {
      throw error;
    },
  });
  return { values, state: new LedgerStateMachine({ values, readTurnsAt, logger: SILENT_LOGGER }) };
}

async function keepTurns({ values, state }: Member, turns: number, bytes: number): Promise<void> {
  for (let turn = 0; turn < turns; turn += 1) {
    await values.waitForRoom();
    const half = Buffer.alloc(bytes / 2, turn);
    const keep = { input: half, output: half, retentionMs: RETENTION_MS };
    const settlement = { program: `p${turn % 1_000}`, attempt: idOf(turn), spentTokens: 1, keep };
    state.apply(encodeValue({ kind: 'settle', settlements: [settlement], nowMs: turn }));
    if (turn % 100 === 0) await sleep(0);
  }
  await values.sync();
}

function idOf(turn: number): string {
  return turn.toString(16).padStart(16, '0');
}

const noPeers = (): Promise<never> => Promise.reject(new Error('no other members'));

async function measure(turns: number, bytes: number, folder: string): Promise<KeptTurnsFigures> {
  const first = await openMember(join(folder, 'first'), noPeers);
  const before = await usedBytes();
  await keepTurns(first, turns, bytes);
  const memoryBytes = (await usedBytes()) - before - CACHE_BYTES;
  const state = Buffer.concat([...first.state.snapshot()]);
  const diskBytes = first.values.diskBytes.total;
  await first.values.close();

  const startedAt = monotonicMs();
  const member = await openMember(join(folder, 'first'), noPeers);
  member.state.restore(state);
  const startMs = monotonicMs() - startedAt;

  const catchUpMs = await catchUp(member, state, join(folder, 'second'));
  await member.values.close();
  return { memoryBytes, diskBytes, snapshotBytes: state.length, startMs, catchUpMs };
}

/** Lets a new member fetch everything that a snapshot names. */
async function catchUp(source: Member, state: Buffer, folder: string): Promise<number> {
  const router = new MethodRouter();
  router.handle(READ_TURNS, (request) => source.state.external.answer(request, true));
  const server = await RpcServer.start({ host: '127.0.0.1', port: 0, secret: SECRET, router });
  const address = `127.0.0.1:${server.port}`;
  const link = new PeerLink({ address, ownName: 'learner', secret: SECRET, router });
  await link.waitConnected(CALL_TIMEOUT_MS);
  const learner = await openMember(folder, (_address, request) =>
    link.call(READ_TURNS, request, { timeoutMs: CALL_TIMEOUT_MS }),
  );
  const startedAt = monotonicMs();
  const snapshot = { index: 1, term: 1, configuration: new Uint8Array(0), state };
  await learner.state.external.fetchMissing(snapshot, [
    { id: 'first', name: 'first', address, role: 'voter' },
  ]);
  await learner.values.sync();
  const tookMs = monotonicMs() - startedAt;
  link.close();
  server.close();
  await learner.values.close();
  return tookMs;
}

const [turns, bytes, folder] = process.argv.slice(2);
process.stdout.write(JSON.stringify(await measure(Number(turns), Number(bytes), folder!)));
