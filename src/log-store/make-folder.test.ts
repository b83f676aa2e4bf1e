/** Folders that outlive a loss of power together with the files that are synced in them. */
import { existsSync, mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { beforeEach, describe, expect, it, vi } from 'vitest';
import { temporaryFolder } from '../../tests/support/temporary-folder.js';
import { openStoreFolder } from '../value-store/index.js';
import { makeFolder } from './data-folder.js';
import { WriteAheadLog } from './write-ahead-log.js';

/** Folders that were opened and synced, in order. */
const synced = vi.hoisted((): string[] => []);

vi.mock('node:fs/promises', async (importOriginal) => {
  const original = await importOriginal<typeof import('node:fs/promises')>();
  const open: typeof original.open = async (path, ...rest) => {
    const file = await original.open(path, ...rest);
    const sync = file.sync.bind(file);
    file.sync = () => {
      synced.push(String(path));
      return sync();
    };
    return file;
  };
  return { ...original, open };
});

beforeEach(() => {
  synced.length = 0;
});

describe('a folder that is made', () => {
  it('is synced into the one above it, as are those above that were missing', async () => {
    const root = temporaryFolder();
    const path = join(root, 'a', 'b', 'c');
    await makeFolder(path);
    expect(existsSync(path)).toBe(true);
    expect(synced).toEqual([join(root, 'a', 'b'), join(root, 'a'), root]);
  });

  it('costs nothing when it is there and in use', async () => {
    const path = temporaryFolder();
    writeFileSync(join(path, 'file'), '');
    await makeFolder(path);
    expect(synced).toEqual([]);
  });

  it('is synced when it is there and empty, up to the first folder that holds more', async () => {
    const root = temporaryFolder();
    const path = join(root, 'a', 'b');
    mkdirSync(path, { recursive: true });
    writeFileSync(join(root, 'file'), '');
    await makeFolder(path);
    expect(synced).toEqual([join(root, 'a'), root]);
  });

  it('is made so by the log and by the value store', async () => {
    const root = temporaryFolder();
    const log = await WriteAheadLog.open({
      folder: join(root, 'log'),
      onFatal: (error) => expect(error).toBeUndefined(),
    });
    expect(synced).toContain(root);
    await log.close();
    synced.length = 0;
    await openStoreFolder(join(root, 'turns'));
    expect(synced).toContain(root);
  });
});
