/**
 * Mutual authentication with a shared secret. Each side sends a random nonce and proves knowledge
 * of the secret with an HMAC over both nonces. The secret itself is never sent.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

const NONCE_BYTES = 16;

export interface ServerChallenge {
  nonce: string;
}

export interface ClientProof {
  name: string;
  nonce: string;
  proof: string;
}

export interface ServerProof {
  proof: string;
}

export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString('hex');
}

/** The client's proof, which covers its name and both nonces. */
export function clientProof(
  secret: string,
  serverNonce: string,
  clientNonce: string,
  name: string,
): string {
  return createHmac('sha256', secret)
    .update(`client|${serverNonce}|${clientNonce}|${name}`)
    .digest('hex');
}

export function serverProof(secret: string, serverNonce: string, clientNonce: string): string {
  return createHmac('sha256', secret).update(`server|${clientNonce}|${serverNonce}`).digest('hex');
}

/** Compares two proofs in constant time. */
export function proofsMatch(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}
