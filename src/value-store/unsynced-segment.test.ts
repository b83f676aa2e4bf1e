/**
 * A journal's process was killed while its machine ran on, and the next one found what it had written but
 * not synced: the bytes were in the machine's memory only. It took them for durable, made a snapshot after
 * syncing nothing but its own file, and let the log go that held the same values. When all machines lost their
 * power, the file of the killed process was empty on every journal, and turns that went on from one of its
 * turns were refused until the end.
 *
 *     kept_turns_disk_bytes 2578693, kept_turns_written_bytes 38867   (0.8 s after the start)
 *     kept_turns_disk_bytes 3453433, kept_turns_written_bytes 913607  (before the loss of power)
 *     kept_turns_disk_bytes 1315171, kept_turns_written_bytes 484319  (after it)
 *     kept turns fetched: asked 25, missing 25
 */
import { expect, it, onTestFinished } from 'vitest';
import { SimulatedFolder } from '../../tests/support/simulated-folder.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { createLogger } from '../observability/index.js';
import { ValueStore } from './value-store.js';

const KEYS = ['first', 'second', 'third'];
const OWN_KEY = 'own';

async function openStore(folder: SimulatedFolder): Promise<ValueStore> {
  const store = await ValueStore.open({
    folder,
    logger: createLogger({ test: 'killed-process' }),
    onFatal: (error) => expect.unreachable(String(error)),
  });
  onTestFinished(() => store.close());
  return store;
}

function valueOf(key: string): Buffer {
  return Buffer.from(`the value of ${key}`);
}

/** Writes values as a process does that is killed before anything asks for a sync. */
async function writeWithoutSync(folder: SimulatedFolder): Promise<void> {
  const store = await openStore(folder);
  for (const key of KEYS) store.put(key, valueOf(key));
  await waitUntil('written', () => store.pendingBytes === 0);
}

async function expectValues(store: ValueStore, keys: readonly string[]): Promise<void> {
  for (const key of keys) expect((await store.get(key))?.toString()).toBe(valueOf(key).toString());
}

it('makes durable with a sync what a killed process wrote and did not sync', async () => {
  const folder = new SimulatedFolder();
  await writeWithoutSync(folder);
  const successor = await openStore(folder);
  await expectValues(successor, KEYS);
  successor.put(OWN_KEY, valueOf(OWN_KEY));
  await successor.sync();

  const afterwards = await openStore(folder.withSyncedOnly());
  await expectValues(afterwards, [...KEYS, OWN_KEY]);
});

it('does so also where the successor has nothing to write itself', async () => {
  const folder = new SimulatedFolder();
  await writeWithoutSync(folder);
  const successor = await openStore(folder);
  await successor.sync();

  await expectValues(await openStore(folder.withSyncedOnly()), KEYS);
});
