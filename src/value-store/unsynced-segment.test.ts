/**
 * Values that a killed process wrote without a sync are only in the page cache. The next process must sync them
 * before it treats them as durable, since a later power failure would lose them.
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

/** Writes values without a sync, like a process that is killed before its first sync. */
async function writeWithoutSync(folder: SimulatedFolder): Promise<void> {
  const store = await openStore(folder);
  for (const key of KEYS) store.put(key, valueOf(key));
  await waitUntil('written', () => store.pendingBytes === 0);
}

async function expectValues(store: ValueStore, keys: readonly string[]): Promise<void> {
  for (const key of keys) expect((await store.get(key))?.toString()).toBe(valueOf(key).toString());
}

it('syncs the unsynced values of a killed process', async () => {
  const folder = new SimulatedFolder();
  await writeWithoutSync(folder);
  const successor = await openStore(folder);
  await expectValues(successor, KEYS);
  successor.put(OWN_KEY, valueOf(OWN_KEY));
  await successor.sync();

  const afterwards = await openStore(folder.withSyncedOnly());
  await expectValues(afterwards, [...KEYS, OWN_KEY]);
});

it('syncs them even if the new process writes nothing itself', async () => {
  const folder = new SimulatedFolder();
  await writeWithoutSync(folder);
  const successor = await openStore(folder);
  await successor.sync();

  await expectValues(await openStore(folder.withSyncedOnly()), KEYS);
});
