/** A data folder that an operator has made below one that this process may not read. */
import { mkdirSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { expect, it, vi } from 'vitest';
import { temporaryFolder } from '../../tests/support/temporary-folder.js';
import { makeFolder } from './data-folder.js';

/** Folders that may be passed through and not read, as one of mode 0711. */
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
 * A start syncs the folders above an empty data folder, which it may find without the right to read them: a folder
 * of its own below one that belongs to the machine. It ended with EACCES, where it had started before.
 */
it('is taken as it is when it is empty and the folder above may not be read', async () => {
  const path = join(temporaryFolder(), 'data');
  mkdirSync(path);
  unreadable.add(dirname(path));
  await expect(makeFolder(path)).resolves.toBeUndefined();
});
