/** An existing data folder below a folder that this process may not read. */
import { mkdirSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { expect, it, vi } from 'vitest';
import { temporaryFolder } from '../../tests/support/temporary-folder.js';
import { makeFolder } from './data-folder.js';

/** Folders that can be traversed but not read, for example with mode 0711. */
const unreadable = vi.hoisted((): Set<string> => new Set());

vi.mock('node:fs/promises', async (importOriginal) => {
  const original = await importOriginal<typeof import('node:fs/promises')>();
  const refuse = (path: string): void => {
    if (unreadable.has(path)) throw Object.assign(new Error('not permitted'), { code: 'EACCES' });
  };
  const open: typeof original.open = async (path, ...rest) => {
    refuse(String(path));
    return original.open(path, ...rest);
  };
  const readdir = async (path: string) => {
    refuse(path);
    return original.readdir(path);
  };
  return { ...original, open, readdir };
});

/**
 * Regression test: startup synced the parents of an empty data folder and failed with EACCES if one
 * of them was not readable.
 */
it('accepts an empty folder whose parent is not readable', async () => {
  const path = join(temporaryFolder(), 'data');
  mkdirSync(path);
  unreadable.add(dirname(path));
  await expect(makeFolder(path)).resolves.toBeUndefined();
});
