/** An interim response that nobody asked for must not cost the final one (RFC 9110, section 15.2). */
import { afterEach, expect, it } from 'vitest';
import { RawBackend, write } from '../../tests/support/raw-backend.js';
import { identityHeaderLines, sendRaw } from '../../tests/support/raw-sends.js';
import { BackendConnectionPool } from './backend-connections.js';

const ID = 'call-1';
const FINAL_LINES = ['HTTP/1.1 200 OK', ...identityHeaderLines(ID), 'Content-Length: 4'];
const FINAL = `${FINAL_LINES.join('\r\n')}\r\n\r\nbody`;

let backend: RawBackend | undefined;
afterEach(() => backend?.stop());

it.each(['100 Continue', '102 Processing', '103 Early Hints'])(
  'an unasked %s precedes a complete answer',
  async (status) => {
    backend = await RawBackend.start(() => [write(`HTTP/1.1 ${status}\r\n\r\n${FINAL}`)]);
    const { result, body } = await sendRaw(new BackendConnectionPool(backend.address, () => 1), {
      id: ID,
    });
    expect([result.kind, body]).toEqual(['complete', 'body']);
  },
);
