/**
 * Bundles the platform's program into few files, since loading many modules costs start-up time:
 * what all roles share, and what one role needs alone.
 */
import { analyzeMetafile, build } from 'esbuild';

/** CommonJS dependencies inside the bundle call `require` for Node's own modules. */
const REQUIRE_SHIM =
  "import { createRequire as __createRequire } from 'node:module';" +
  'const require = __createRequire(import.meta.url);';

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
  keepNames: true,
  external: ['msgpackr-extract'],
  alias: { undici: './scripts/undici-client.mjs' },
  banner: { js: REQUIRE_SHIM },
  logLevel: 'warning',
  metafile: process.argv.includes('--sizes'),
});
if (result.metafile) console.log(await analyzeMetafile(result.metafile));
