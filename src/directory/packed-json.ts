/**
 * News as they are sent: packed once for all that hold the same, since encoding is most of what an answer costs
 * its sender. JSON and deflated, as configurations are.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';

/** The fastest level: entries of a list resemble each other, so it already shrinks them severalfold. */
const DEFLATE_LEVEL = 1;

export function packJson(news: unknown): Uint8Array {
  return deflateRawSync(JSON.stringify(news), { level: DEFLATE_LEVEL });
}

/** Unpacks what `packNews` packed. The caller names the type it agreed on with the writer. */
export function unpackJson<News>(packed: Uint8Array): News {
  return JSON.parse(inflateRawSync(packed).toString('utf8')) as News;
}
