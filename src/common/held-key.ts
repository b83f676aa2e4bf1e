/** Keys of bounded size for ids that callers choose, so that what is remembered by id has a bound in bytes. */
import { sha256Hex } from './hashing.js';

/** Longer ids are replaced by their hash, which is as long. */
const MAX_KEY_LENGTH = 64;

/** The key under which something is remembered for an id. */
export function heldKeyOf(id: string): string {
  return id.length <= MAX_KEY_LENGTH ? id : sha256Hex(id);
}

/** A copy that does not keep the string that the key is a part of, such as a whole header. */
export function detachedKey(key: string): string {
  return Buffer.from(key, 'utf8').toString('utf8');
}
