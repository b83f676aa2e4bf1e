/** Bundles the platform's program into one file, since loading many modules costs start-up time. */
import { analyzeMetafile, build } from 'esbuild';

/** CommonJS dependencies inside the bundle call `require` for Node's own modules. */
const REQUIRE_SHIM =
  "import { createRequire as __createRequire } from 'node:module';" +
  'const require = __createRequire(import.meta.url);';

const result = await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/ledgegauge.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  keepNames: true,
  external: ['msgpackr-extract'],
  alias: { undici: './scripts/undici-client.mjs' },
  banner: { js: REQUIRE_SHIM },
  logLevel: 'warning',
  metafile: process.argv.includes('--sizes'),
});
if (result.metafile) console.log(await analyzeMetafile(result.metafile));
