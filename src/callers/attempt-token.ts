import { randomBytes } from 'node:crypto';

const TOKEN_BYTES = 12;

/** Creates a random token that lets a gateway recognize its own attempt in the journal. */
export function createAttemptToken(): string {
  return randomBytes(TOKEN_BYTES).toString('hex');
}
