import { randomBytes } from 'node:crypto';

const TOKEN_BYTES = 12;

/** A random token by which a gateway recognises its own attempt in the journal. */
export function createAttemptToken(): string {
  return randomBytes(TOKEN_BYTES).toString('hex');
}
