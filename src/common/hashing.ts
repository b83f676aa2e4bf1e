/** Fast non-cryptographic hashing (xxHash64) and content digests (SHA-256). */
import { createHash } from 'node:crypto';
import createXxhash from 'xxhash-wasm';

const hasher = await createXxhash();

/** xxHash64 of a text as 16 hexadecimal digits. */
export function hash64Hex(text: string): string {
  return hasher.h64ToString(text);
}

/** xxHash32 of a text, an integer from 0 to 2^32 - 1. */
export function hash32(text: string): number {
  return hasher.h32(text);
}

/** SHA-256 of a text as hexadecimal digits: for credentials and content identity. */
export function sha256Hex(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
