/** A crowd at the port of the probes: it stays small, and a probe is answered beside it. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { StrictCaller } from '../../tests/support/strict-caller.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { createProbeServer } from './probe-server.js';

const CROWD = 100;
const MAX_CONNECTIONS = 32;
const REQUEST = 'GET /ready HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n';

let server: Server;
beforeEach(async () => {
  server = createProbeServer((_request, response) => {
    response.writeHead(200, { 'Content-Length': '0' });
    response.end();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
});
afterEach(() => {
  server.close();
  server.closeAllConnections();
});

function connect(): Promise<StrictCaller> {
  return StrictCaller.connect(`127.0.0.1:${(server.address() as AddressInfo).port}`);
}

async function expectAnswer(): Promise<void> {
  const probe = await connect();
  probe.socket.write(REQUEST);
  expect(await probe.waitUntilClosed()).toMatchObject({ status: 200, isComplete: true });
}

it.each([
  ['nothing', ''],
  ['heads that stop short', 'GET / HTTP/1.1\r\nHost: test\r\n'],
  ['bodies that stop short', 'POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 100\r\n\r\nx'],
])('connections that send %s are few, and a probe is answered', async (_what, bytes) => {
  const crowd: StrictCaller[] = [];
  for (let index = 0; index < CROWD; index += 1) {
    const caller = await connect();
    crowd.push(caller);
    if (bytes) caller.socket.write(bytes);
  }
  await expectAnswer();
  const areFew = (): boolean => crowd.filter(({ hasEnded }) => !hasEnded).length <= MAX_CONNECTIONS;
  await waitUntil('closed', areFew);
  for (const { socket } of crowd) socket.destroy();
});

it('closes connections whose head does not come', async () => {
  const caller = await connect();
  caller.socket.write('GET / HTTP/1.1\r\n');
  await waitUntil('closed', () => caller.hasEnded);
});
