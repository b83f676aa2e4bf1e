/** A user on call waits for each start of the command line: commands must not load the daemons and their libraries. */
import { readFileSync } from 'node:fs';
import { dirname, join, resolve } from 'node:path';
import { expect, it } from 'vitest';

const PROGRAM = resolve('dist/src/cli/ledgegauge.js');
/** Static imports and exports of a compiled module; `import()` is not among them. */
const STATIC_IMPORT = /^(?:import|export)\b[^;]*?from '([^']+)';|^import '([^']+)';/gm;

/** Packages that are loaded together with a compiled module. */
function loadedPackages(file: string, seen = new Set<string>()): Set<string> {
  if (seen.has(file)) return new Set();
  seen.add(file);
  const packages = new Set<string>();
  for (const [, from, alone] of readFileSync(file, 'utf8').matchAll(STATIC_IMPORT)) {
    const source = (from ?? alone)!;
    if (!source.startsWith('.')) packages.add(source);
    else for (const name of loadedPackages(join(dirname(file), source), seen)) packages.add(name);
  }
  return packages;
}

it('the command line loads no library of the daemons before it knows the command', () => {
  const packages = [...loadedPackages(PROGRAM)].filter((name) => !name.startsWith('node:'));
  expect(packages).toEqual(['cac']);
});
