/** Calls as the product sees them, for tests of what only looks at a part of a call. */
import type { CallDescription } from '../../src/forwarding/call-exchange.js';

/** @param special what matters to the test; the rest is a plain call's */
export function sampleCall(special: Partial<CallDescription> = {}): CallDescription {
  return {
    id: 'c',
    host: 'h',
    path: '/',
    method: 'POST',
    target: '/',
    headers: [],
    body: Buffer.alloc(0),
    mostTokens: 0,
    promptParts: [],
    ...special,
  };
}
