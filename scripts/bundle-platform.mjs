/**
 * Bundles the platform's program into few files, since loading many modules costs start-up time:
 * what all roles share, and what one role needs alone. Parts of packages that the program never uses
 * are left out, with the Node modules that only they load.
 */
import { fileURLToPath } from 'node:url';
import { analyzeMetafile, build } from 'esbuild';

/** CommonJS dependencies inside the bundle call `require` for Node's own modules. */
const REQUIRE_SHIM =
  "import { createRequire as __createRequire } from 'node:module';" +
  'const require = __createRequire(import.meta.url);';

const pathOf = (name) => fileURLToPath(new URL(name, import.meta.url));

/** Modules by the pattern of their import, and what is bundled in their place. */
const REPLACED_MODULES = [
  // Loads one client class, not the whole package.
  { filter: /^undici$/, path: pathOf('bundled-undici.mjs') },
  // Loads HTTP/2 and TLS.
  { filter: /\/client-h2\.js$/, path: pathOf('bundled-http2.mjs') },
  // Loads the whole of Node's assertions.
  { filter: /^(node:)?assert$/, path: pathOf('bundled-assert.cjs') },
  // Loads `cluster`, `child_process`, `v8` and `perf_hooks`.
  { filter: /^prom-client$/, path: pathOf('bundled-prom-client.mjs') },
  // Without the native helper, which is looked for and opened at every start.
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
  // Half the bytes, and so half the time of parsing; names stay as they are.
  minifyWhitespace: true,
  keepNames: true,
  plugins: [replaceModules],
  banner: { js: REQUIRE_SHIM },
  logLevel: 'warning',
  metafile: process.argv.includes('--sizes'),
});
if (result.metafile) console.log(await analyzeMetafile(result.metafile));
