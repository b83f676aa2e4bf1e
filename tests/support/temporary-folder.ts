import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { onTestFinished } from 'vitest';

/** Creates a folder that is removed when the test has finished. */
export function temporaryFolder(): string {
  const folder = mkdtempSync(join(tmpdir(), 'ledgegauge-test-'));
  onTestFinished(() => rmSync(folder, { recursive: true, force: true }));
  return folder;
}
