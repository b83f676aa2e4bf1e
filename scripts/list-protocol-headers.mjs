#!/usr/bin/env node
/**
 * Lists the headers that the platform's pages name, for `platform/protocol-headers.json`, which a test holds
 * against the table of who sets them. Run it by hand when pages are new:
 *   node scripts/list-protocol-headers.mjs PAGE... > platform/protocol-headers.json
 */
import { readFileSync } from 'node:fs';

/** Names in code marks or at the beginning of a line of an example. */
const HEADER = /`((?:X|Kv|Wait|Last)-[A-Za-z-]+)(?=[`: =])|^\s*((?:X|Kv|Wait|Last)-[A-Za-z-]+):/gm;
/** The name of a cookie, and the one line of an event, are spelled like headers. */
const OTHER_NAMES = new Set(['x-affinity-key']);

const names = process.argv.slice(2).flatMap((page) => {
  const text = readFileSync(page, 'utf8');
  return [...text.matchAll(HEADER)].map((match) => (match[1] ?? match[2]).toLowerCase());
});
const headers = [...new Set(names)].filter((name) => !OTHER_NAMES.has(name)).sort();
process.stdout.write(`${JSON.stringify(headers, undefined, 2)}\n`);
