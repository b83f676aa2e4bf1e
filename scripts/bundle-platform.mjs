/**
 * Bundles the platform program into a few files to reduce startup time: one chunk shared by all roles and
 * chunks for single roles. Unused parts of packages are excluded, with the Node.js modules that only they load.
 */
import { fileURLToPath } from 'node:url';
import { analyzeMetafile, build } from 'esbuild';
import { writeFileAtomically } from './write-file-atomically.mjs';

/** Lets bundled CommonJS dependencies `require` built-in modules. */
const REQUIRE_SHIM =
  "import { createRequire as __createRequire } from 'node:module';" +
  'const require = __createRequire(import.meta.url);';

const pathOf = (name) => fileURLToPath(new URL(name, import.meta.url));

/** Import patterns and the modules that are bundled instead. */
const REPLACED_MODULES = [
  // Avoids loading the whole package for one class.
  { filter: /^undici$/, path: pathOf('bundled-undici.mjs') },
  // Avoids loading HTTP/2 and TLS.
  { filter: /\/client-h2\.js$/, path: pathOf('bundled-http2.mjs') },
  // Avoids loading all of `node:assert`.
  { filter: /^(node:)?assert$/, path: pathOf('bundled-assert.cjs') },
  // Avoids loading `cluster`, `child_process`, `v8` and `perf_hooks`.
  { filter: /^prom-client$/, path: pathOf('bundled-prom-client.mjs') },
  // Excludes the native addon, which is located and loaded at each start.
  { filter: /^msgpackr$/, path: pathOf('../node_modules/msgpackr/index.js') },
];

const replaceModules = {
  name: 'replace-modules',
  setup({ onResolve }) {
    for (const { filter, path } of REPLACED_MODULES) {
      onResolve({ filter }, () => ({ path, sideEffects: false }));
    }
  },
};

const result = await build({
  entryPoints: { ledgegauge: 'platform/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  splitting: true,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  // Halves the size and so the parse time; identifiers are not minified.
  minifyWhitespace: true,
  keepNames: true,
  plugins: [replaceModules],
  banner: { js: REQUIRE_SHIM },
  logLevel: 'warning',
  write: false,
  metafile: process.argv.includes('--sizes'),
});
/** Chunks come before the program that imports them. */
const chunksFirst = result.outputFiles.toSorted(
  (left, right) => Number(isProgram(left)) - Number(isProgram(right)),
);
for (const { path, contents } of chunksFirst) writeFileAtomically(path, contents);

function isProgram({ path }) {
  return path.endsWith('/ledgegauge.mjs');
}

if (result.metafile) console.log(await analyzeMetafile(result.metafile));
