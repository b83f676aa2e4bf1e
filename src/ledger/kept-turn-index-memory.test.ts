/** Memory use of the kept turn index. */
import { expect, it, onTestFinished } from 'vitest';
import { measureUsedBytes } from '../../lab/slopes/used-bytes.js';
import { temporaryFolder } from '../../tests/support/temporary-folder.js';
import { createLogger } from '../observability/index.js';
import { ValueStore, openStoreFolder } from '../value-store/index.js';
import { KeptTurnIndex } from './kept-turn-index.js';

const MIB = 1024 * 1024;
const TURNS = 12_000;
const TURN_BYTES = 8_000;
const CACHE_BYTES = 2 * MIB;
/** Index entry and value location of a turn on the heap. */
const MAX_BYTES_PER_TURN = 450;

it('grows by an index entry per turn, not by its value', { timeout: 60_000 }, async () => {
  const values = await ValueStore.open({
    folder: await openStoreFolder(temporaryFolder()),
    logger: createLogger({ test: 'memory' }),
    onFatal: (error) => expect(error).toBeUndefined(),
    cacheBytes: CACHE_BYTES,
  });
  onTestFinished(() => values.close());
  const turns = new KeptTurnIndex(values);
  const before = await measureUsedBytes();
  for (let turn = 0; turn < TURNS; turn += 1) {
    await values.waitForRoom();
    const input = Buffer.alloc(TURN_BYTES / 2, turn);
    const output = Buffer.alloc(TURN_BYTES / 2, turn + 1);
    const previousTurn = turn % 10 === 0 ? undefined : idOf(turn - 1);
    turns.keep(idOf(turn), { previousTurn, input, output, retentionMs: 60_000 }, turn);
  }
  await values.sync();
  const grownBy = (await measureUsedBytes()) - before - CACHE_BYTES;
  expect(grownBy / TURNS).toBeLessThan(MAX_BYTES_PER_TURN);
  const chain = turns.chain(idOf(9))!;
  expect(chain).toHaveLength(10);
  expect((await values.get(chain[3]!))?.subarray(0, 2)).toEqual(Buffer.from([3, 3]));
});

function idOf(turn: number): string {
  return turn.toString(16).padStart(16, '0');
}
