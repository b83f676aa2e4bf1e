/** Sample calls for tests that need only some of their properties. */
import type { CallDescription } from '../../src/forwarding/call-exchange.js';

/** @param overrides properties that differ from a plain call */
export function sampleCall(overrides: Partial<CallDescription> = {}): CallDescription {
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
    ...overrides,
  };
}
