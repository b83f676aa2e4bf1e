/** Created folders must survive a power loss together with synced files in them. */
import { existsSync, mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { beforeEach, describe, expect, it, vi } from 'vitest';
import { temporaryFolder } from '../../tests/support/temporary-folder.js';
import { openStoreFolder } from '../value-store/index.js';
import { makeFolder } from './data-folder.js';
import { WriteAheadLog } from './write-ahead-log.js';

/** Synced folders, in order. */
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

describe('makeFolder', () => {
  it('syncs the parents of all created folders', async () => {
    const root = temporaryFolder();
    const path = join(root, 'a', 'b', 'c');
    await makeFolder(path);
    expect(existsSync(path)).toBe(true);
    expect(synced).toEqual([join(root, 'a', 'b'), join(root, 'a'), root]);
  });

  it('syncs nothing for an existing folder with content', async () => {
    const path = temporaryFolder();
    writeFileSync(join(path, 'file'), '');
    await makeFolder(path);
    expect(synced).toEqual([]);
  });

  it('syncs the parents of an empty folder, up to the first one with other content', async () => {
    const root = temporaryFolder();
    const path = join(root, 'a', 'b');
    mkdirSync(path, { recursive: true });
    writeFileSync(join(root, 'file'), '');
    await makeFolder(path);
    expect(synced).toEqual([join(root, 'a'), root]);
  });

  it('is used by the log and the value store', async () => {
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
