/** A value whose file is temporarily unreadable. */
import { expect, it, onTestFinished } from 'vitest';
import { temporaryFolder } from '../../tests/support/temporary-folder.js';
import { createLogger } from '../observability/index.js';
import { type StoreFile, type StoreFolder, openStoreFolder } from './store-folder.js';
import { ValueStore } from './value-store.js';

const KEY = 'a';
const VALUE = Buffer.from('the value of a');

/** A folder whose files can be made to fail reads. */
class FolderWithReadErrors {
  hasReadErrors = false;

  async open(): Promise<StoreFolder> {
    const folder = await openStoreFolder(temporaryFolder());
    return {
      ...folder,
      create: async (name) => this.withErrors(await folder.create(name)),
      open: async (name) => this.withErrors(await folder.open(name)),
    };
  }

  private withErrors(file: StoreFile): StoreFile {
    const read: StoreFile['read'] = (...args) => {
      if (!this.hasReadErrors) return file.read(...args);
      return Promise.reject(Object.assign(new Error('no memory'), { code: 'ENOMEM' }));
    };
    return { ...file, read };
  }
}

/** A transient read error, such as ENOMEM, must not be taken for a damaged value, which would be deleted. */
it('keeps a value after a transient read error', async () => {
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
  files.hasReadErrors = true;
  await store.get(KEY).catch(() => undefined);
  files.hasReadErrors = false;
  expect(store.has(KEY)).toBe(true);
  expect(await store.get(KEY)).toEqual(VALUE);
});
