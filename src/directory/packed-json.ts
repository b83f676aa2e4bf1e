/** Deflated JSON, for updates that are encoded once and sent to many receivers. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';

/** The fastest level; it suffices because the entries of a list resemble each other. */
const DEFLATE_LEVEL = 1;

export function packJson(value: unknown): Uint8Array {
  return deflateRawSync(JSON.stringify(value), { level: DEFLATE_LEVEL });
}

/** Decodes the result of `packJson`. The type is not checked. */
export function unpackJson<Value>(packed: Uint8Array): Value {
  return JSON.parse(inflateRawSync(packed).toString('utf8')) as Value;
}
