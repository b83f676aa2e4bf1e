/** Replaces files at once, so that programs which read them while they are built never see a part of one. */
import { mkdirSync, renameSync, writeFileSync } from 'node:fs';
import { dirname } from 'node:path';

/** Writes a file and creates its folder. Another process reads either the previous or the new content. */
export function writeFileAtomically(path, content) {
  const temporary = `${path}.${process.pid}.new`;
  mkdirSync(dirname(path), { recursive: true });
  writeFileSync(temporary, content);
  renameSync(temporary, path);
}
