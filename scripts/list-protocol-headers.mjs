#!/usr/bin/env node
/**
 * Lists the headers in the documentation of the platform for `platform/protocol-headers.json`, which a test
 * compares with the header table. Run it manually when the documentation changes:
 *   node scripts/list-protocol-headers.mjs PAGE... > platform/protocol-headers.json
 */
import { readFileSync } from 'node:fs';

/** Header names in inline code, or at the start of a line of an example. */
const HEADER = /`((?:X|Kv|Wait|Last)-[A-Za-z-]+)(?=[`: =])|^\s*((?:X|Kv|Wait|Last)-[A-Za-z-]+):/gm;
/** Names that match the pattern but are not headers. */
const OTHER_NAMES = new Set(['x-affinity-key']);

const names = process.argv.slice(2).flatMap((page) => {
  const text = readFileSync(page, 'utf8');
  return [...text.matchAll(HEADER)].map((match) => (match[1] ?? match[2]).toLowerCase());
});
const headers = [...new Set(names)].filter((name) => !OTHER_NAMES.has(name)).sort();
process.stdout.write(`${JSON.stringify(headers, undefined, 2)}\n`);
