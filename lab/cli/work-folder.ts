/** Temporary folders for the settings, logs and data of runs. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

export function createWorkFolder(purpose: string): string {
  return mkdtempSync(join(tmpdir(), `ledgegauge-${purpose}-`));
}

export function removeWorkFolder(folder: string): void {
  rmSync(folder, { recursive: true, force: true });
}
