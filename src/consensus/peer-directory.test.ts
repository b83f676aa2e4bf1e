/** Calls to peers that are not connected yet. */
import { describe, expect, it, onTestFinished } from 'vitest';
import { MethodRouter, RpcServer, defineMethod } from '../wire/index.js';
import { PeerDirectory } from './peer-directory.js';

const SECRET = 's';
const ECHO = defineMethod<string, string>('echo');

function peers(): PeerDirectory {
  const router = new MethodRouter();
  const resolveAddress = (address: string): string => address;
  const directory = new PeerDirectory({ ownName: 'a', secret: SECRET, router, resolveAddress });
  onTestFinished(() => directory.close());
  return directory;
}

describe('a first call to a peer', () => {
  it('fails immediately, or waits for the link with callWhenConnected', async () => {
    const router = new MethodRouter();
    router.handle(ECHO, (text) => text);
    const server = await RpcServer.start({ host: '127.0.0.1', port: 0, secret: SECRET, router });
    onTestFinished(() => server.close());
    const address = `127.0.0.1:${server.port}`;
    const limits = { timeoutMs: 1_000, connectMs: 1_000 };
    await expect(peers().call(address, ECHO, 'x', limits)).rejects.toThrow();
    expect(await peers().callWhenConnected(address, ECHO, 'x', limits)).toBe('x');
  });

  it('fails when the peer cannot be reached in time', async () => {
    const limits = { timeoutMs: 1_000, connectMs: 50 };
    await expect(peers().callWhenConnected('127.0.0.1:1', ECHO, 'x', limits)).rejects.toThrow();
  });
});
