/** Effect of each fault on connections over real sockets. */
import { type AddressInfo, type Socket, connect, createServer } from 'node:net';
import { request } from 'undici';
import { describe, expect, it, onTestFinished } from 'vitest';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../../src/common/index.js';
import { backendConnector } from '../../src/http/index.js';
import { createLogger, setLogLevel } from '../../src/observability/index.js';
import { FaultProxy } from './fault-proxy.js';
import { faultProxySettingsSchema } from './fault-proxy-settings.js';

setLogLevel('error');
const HOST = '127.0.0.1';
const LINK = 'a>b';

interface Connection {
  socket: Socket;
  received: string;
  isClosed: boolean;
}

/** Sent to the echo server, has it end the connection. */
const END_REQUEST = 'end';
/** Time in which the end of a connection arrives, in milliseconds. */
const ARRIVAL_MS = 50;

/** Sent to the echo server, has it write a part of an answer and reset the connection at once. */
const RESET_REQUEST = 'reset';
const RESET_REPEATS = 50;

/** Starts a proxy in front of an echo server. */
async function startProxy(): Promise<{ port: number; setFault: (fault: object) => Promise<void> }> {
  const echo = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.pipe(socket);
    socket.on('data', (chunk) => {
      const text = chunk.toString();
      if (text === END_REQUEST) socket.end();
      if (text !== RESET_REQUEST) return;
      socket.write('part');
      socket.resetAndDestroy();
    });
  });
  await new Promise<void>((resolve) => echo.listen(0, HOST, resolve));
  const [port, controlPort] = await freePorts();
  const settings = faultProxySettingsSchema.parse({
    node: { name: 'proxy', zone: 'zone' },
    listen: { controlPort },
    links: [{ id: LINK, port, target: `${HOST}:${(echo.address() as AddressInfo).port}` }],
  });
  const proxy = await FaultProxy.start(settings, createLogger({ name: 'proxy' }));
  onTestFinished(async () => {
    await proxy.stop();
    echo.close();
  });
  const setFault = async (fault: object): Promise<void> => {
    const body = JSON.stringify({ links: ['*'], fault });
    const response = await request(`http://${HOST}:${controlPort}/v1/faults`, {
      method: 'POST',
      body,
    });
    expect(response.statusCode).toBe(200);
    await response.body.dump();
  };
  return { port: port!, setFault };
}

async function freePorts(): Promise<number[]> {
  const servers = [createServer(), createServer()];
  const ports = await Promise.all(
    servers.map(
      (server) =>
        new Promise<number>((resolve) =>
          server.listen(0, HOST, () => resolve((server.address() as AddressInfo).port)),
        ),
    ),
  );
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

function openConnection(port: number): Connection {
  const connection: Connection = {
    socket: connect({ host: HOST, port }),
    received: '',
    isClosed: false,
  };
  connection.socket.on('error', () => undefined);
  connection.socket.on('data', (chunk) => (connection.received += chunk.toString()));
  connection.socket.on('close', () => (connection.isClosed = true));
  onTestFinished(() => void connection.socket.destroy());
  return connection;
}

/** How the answer to a request ends, read by a socket that tells a reset with the last bytes from an end. */
function endOfAnswer(port: number, text: string): Promise<'end' | 'reset'> {
  const connectBackend = backendConnector(1_000);
  return new Promise((resolve, reject) => {
    connectBackend({ hostname: HOST, port: String(port), protocol: 'http:' }, (failure, socket) => {
      if (failure) return reject(failure);
      socket.on('data', () => undefined);
      socket.on('end', () => resolve('end'));
      socket.on('error', () => resolve('reset'));
      socket.write(text);
    });
  });
}

const NO_DIRECTION_FAULT = { drop: false, delayMs: 0, jitterMs: 0, bytesPerSecond: 0 };

describe('FaultProxy', () => {
  it('forwards bytes in both directions without a fault', async () => {
    const { port } = await startProxy();
    const connection = openConnection(port);
    connection.socket.write('hello');
    await waitUntil('echo', () => connection.received === 'hello');
  });

  it('resets existing and new connections while the link is cut', async () => {
    const { port, setFault } = await startProxy();
    const existing = openConnection(port);
    existing.socket.write('x');
    await waitUntil('echo', () => existing.received === 'x');
    await setFault({ cut: true });
    await waitUntil('closed', () => existing.isClosed);
    const newConnection = openConnection(port);
    await waitUntil('refused', () => newConnection.isClosed);
  });

  /** An answer without a length that a crashed runner breaks off would otherwise arrive as a whole one. */
  it('passes a reset on that arrives with the last bytes, and no end', async () => {
    const { port } = await startProxy();
    for (let round = 0; round < RESET_REPEATS; round += 1)
      expect(await endOfAnswer(port, RESET_REQUEST)).toBe('reset');
    expect(await endOfAnswer(port, END_REQUEST)).toBe('end');
  });

  it('drops bytes silently, then resets connections that lost bytes', async () => {
    const { port, setFault } = await startProxy();
    const connection = openConnection(port);
    connection.socket.write('1');
    await waitUntil('echo', () => connection.received === '1');
    await setFault({ toTarget: { ...NO_DIRECTION_FAULT, drop: true } });
    connection.socket.write('2');
    const other = openConnection(port);
    await waitUntil('connected', () => !other.socket.connecting);
    expect([connection.received, connection.isClosed]).toEqual(['1', false]);
    await setFault({});
    await waitUntil('reset', () => connection.isClosed);
    expect(connection.received).toBe('1');
    other.socket.write('3');
    await waitUntil('echo', () => other.received === '3');
  });

  // Guards against an answer without a length that looks complete although its last bytes were dropped.
  it('passes no end of a connection on behind dropped bytes', async () => {
    const { port, setFault } = await startProxy();
    const connection = openConnection(port);
    connection.socket.write('1');
    await waitUntil('echo', () => connection.received === '1');
    await setFault({ toClient: { ...NO_DIRECTION_FAULT, drop: true } });
    connection.socket.write(END_REQUEST);
    await sleep(ARRIVAL_MS);
    expect([connection.received, connection.isClosed]).toEqual(['1', false]);
    await setFault({});
    await waitUntil('reset', () => connection.isClosed);
  });

  it('delays bytes', async () => {
    const { port, setFault } = await startProxy();
    await setFault({ toTarget: { ...NO_DIRECTION_FAULT, delayMs: 80 } });
    const connection = openConnection(port);
    const startedAt = performance.now();
    connection.socket.write('late');
    await waitUntil('echo', () => connection.received === 'late');
    expect(performance.now() - startedAt).toBeGreaterThanOrEqual(79);
  });

  it('resets in the middle of a message', async () => {
    const { port, setFault } = await startProxy();
    await setFault({ resetAfterBytes: 10 });
    const connection = openConnection(port);
    connection.socket.write('12345');
    await waitUntil('echo', () => connection.received === '12345');
    connection.socket.write('67890abc');
    await waitUntil('reset', () => connection.isClosed);
    expect(connection.received).toBe('12345');
  });

  it('accepts half-open connections without forwarding bytes', async () => {
    const { port, setFault } = await startProxy();
    await setFault({ halfOpen: true });
    const connection = openConnection(port);
    await waitUntil('connected', () => !connection.socket.connecting);
    connection.socket.write('x');
    await setFault({});
    const newConnection = openConnection(port);
    newConnection.socket.write('y');
    await waitUntil('echo', () => newConnection.received === 'y');
    expect(connection.received).toBe('');
  });
});
