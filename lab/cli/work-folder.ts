/** Folders in which runs keep settings, logs and data. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** Makes a folder for one run. */
export function createWorkFolder(purpose: string): string {
  return mkdtempSync(join(tmpdir(), `ledgegauge-${purpose}-`));
}

export function removeWorkFolder(folder: string): void {
  rmSync(folder, { recursive: true, force: true });
}
