/** A value whose file can't be read for a moment. */
import { expect, it, onTestFinished } from 'vitest';
import { temporaryFolder } from '../../tests/support/temporary-folder.js';
import { createLogger } from '../observability/index.js';
import { type StoreFile, type StoreFolder, openStoreFolder } from './store-folder.js';
import { ValueStore } from './value-store.js';

const KEY = 'a';
const VALUE = Buffer.from('the value of a');

/** A folder whose files can't be read while its machine is short of something. */
class FolderWithReadErrors {
  failsReads = false;

  async open(): Promise<StoreFolder> {
    const folder = await openStoreFolder(temporaryFolder());
    return {
      ...folder,
      create: async (name) => this.withErrors(await folder.create(name)),
      open: async (name) => this.withErrors(await folder.open(name)),
    };
  }

  private withErrors(file: StoreFile): StoreFile {
    const read: StoreFile['read'] = (...place) => {
      if (!this.failsReads) return file.read(...place);
      return Promise.reject(Object.assign(new Error('no memory'), { code: 'ENOMEM' }));
    };
    return { ...file, read };
  }
}

/**
 * A read that failed counts as a damaged value: the value is dropped, and its segment is removed once nothing else stands in
 * it. A member that is short of memory for a moment destroys what it holds so, says to others that it has lost it, and
 * more than half of the voters in that state let a new member give the turn up.
 */
it('is held still when the error is over', async () => {
  const files = new FolderWithReadErrors();
  const store = await ValueStore.open({
    folder: await files.open(),
    logger: createLogger({ test: 'unreadable-value' }),
    onFatal: (error) => expect.unreachable(String(error)),
    cacheBytes: 1,
  });
  onTestFinished(() => store.close());
  store.put(KEY, VALUE);
  await store.sync();
  files.failsReads = true;
  await store.get(KEY).catch(() => undefined);
  files.failsReads = false;
  expect(store.has(KEY)).toBe(true);
  expect(await store.get(KEY)).toEqual(VALUE);
});
