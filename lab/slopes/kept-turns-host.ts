/**
 * Stores kept turns on disk as a ledger member does, and measures their memory, disk space, recovery
 * time, and the time that a new member needs to fetch them over a loopback link.
 *
 *     node kept-turns-host.js TURNS BYTES_PER_TURN FOLDER
 */
import { join } from 'node:path';
import { monotonicMs, sleep } from '../../src/common/index.js';
import { LedgerStateMachine, READ_TURNS } from '../../src/ledger/index.js';
import { ValueStore, openStoreFolder } from '../../src/value-store/index.js';
import { MethodRouter, PeerLink, RpcServer, encodeValue } from '../../src/wire/index.js';
import { SILENT_LOGGER } from '../silent-logger.js';
import { measureUsedBytes } from './used-bytes.js';

/** Times are in milliseconds. */
export interface KeptTurnsCost {
  /** Heap and buffers used by all turns, without the cache. */
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
    const value = Buffer.alloc(bytes / 2, turn);
    const keep = { input: value, output: value, retentionMs: RETENTION_MS };
    const settlement = {
      program: `p${turn % 1_000}`,
      attempt: attemptId(turn),
      spentTokens: 1,
      keep,
    };
    state.apply(encodeValue({ kind: 'settle', settlements: [settlement], nowMs: turn }));
    if (turn % 100 === 0) await sleep(0);
  }
  await values.sync();
}

function attemptId(turn: number): string {
  return turn.toString(16).padStart(16, '0');
}

const rejectReadTurns = (): Promise<never> => Promise.reject(new Error('no other members'));

async function measure(turns: number, bytes: number, folder: string): Promise<KeptTurnsCost> {
  const firstMember = await openMember(join(folder, 'first'), rejectReadTurns);
  const baselineBytes = await measureUsedBytes();
  await keepTurns(firstMember, turns, bytes);
  const memoryBytes = (await measureUsedBytes()) - baselineBytes - CACHE_BYTES;
  const state = Buffer.concat([...firstMember.state.snapshot()]);
  const diskBytes = firstMember.values.diskBytes.total;
  await firstMember.values.close();

  const startedAt = monotonicMs();
  const restartedMember = await openMember(join(folder, 'first'), rejectReadTurns);
  restartedMember.state.restore(state);
  const startMs = monotonicMs() - startedAt;

  const catchUpMs = await measureCatchUp(restartedMember, state, join(folder, 'second'));
  await restartedMember.values.close();
  return { memoryBytes, diskBytes, snapshotBytes: state.length, startMs, catchUpMs };
}

/** Lets a new member fetch all values that a snapshot refers to; returns the duration. */
async function measureCatchUp(source: Member, state: Buffer, folder: string): Promise<number> {
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
  const elapsedMs = monotonicMs() - startedAt;
  link.close();
  server.close();
  await learner.values.close();
  return elapsedMs;
}

const [turns, bytes, folder] = process.argv.slice(2);
process.stdout.write(JSON.stringify(await measure(Number(turns), Number(bytes), folder!)));
