/**
 * Builds that run while programs load from their output. A build that writes its files in place lets a program read half
 * of a module, and the program ends before it has started.
 */
import { spawnSync } from 'node:child_process';
import { closeSync, openSync, readFileSync, readdirSync, statSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { expect, it } from 'vitest';
import { temporaryFolder } from './support/temporary-folder.js';

const BUILD = join(process.cwd(), 'scripts/build.mjs');
const OPTIONS = { module: 'NodeNext', target: 'ES2022', outDir: 'dist', incremental: true };

function createProject(): string {
  const folder = temporaryFolder();
  const config = { compilerOptions: { ...OPTIONS, types: [] }, files: ['program.ts'] };
  writeFileSync(join(folder, 'tsconfig.json'), JSON.stringify(config));
  writeFileSync(join(folder, 'program.ts'), 'export const version = 1;\n');
  return folder;
}

function runBuild(folder: string) {
  return spawnSync(process.execPath, [BUILD], { cwd: folder, encoding: 'utf8' });
}

it('replaces an output file that a program is reading, and leaves no other files', () => {
  const folder = createProject();
  expect(runBuild(folder).status).toBe(0);
  const output = join(folder, 'dist/program.js');
  const reading = openSync(output, 'r');
  const before = statSync(output).ino;
  writeFileSync(join(folder, 'program.ts'), 'export const version = 2;\n');
  expect(runBuild(folder).status).toBe(0);
  expect(readFileSync(reading, 'utf8')).toContain('version = 1');
  closeSync(reading);
  expect(readFileSync(output, 'utf8')).toContain('version = 2');
  expect(statSync(output).ino).not.toBe(before);
  expect(readdirSync(join(folder, 'dist')).filter((name) => name.endsWith('.new'))).toEqual([]);
});

it('does not touch files that are up to date', () => {
  const folder = createProject();
  expect(runBuild(folder).status).toBe(0);
  const output = join(folder, 'dist/program.js');
  const before = statSync(output);
  expect(runBuild(folder).status).toBe(0);
  expect(statSync(output).ino).toBe(before.ino);
});

it('reports errors of types and fails', () => {
  const folder = createProject();
  writeFileSync(join(folder, 'program.ts'), "export const version: number = 'text';\n");
  const { status, stderr } = runBuild(folder);
  expect(status).toBe(1);
  expect(stderr).toContain('program.ts');
  expect(stderr).toContain('TS2322');
});
