/** A TCP relay that can silence connections without a reset, like a lost machine or network path. */
import { type AddressInfo, type Socket, connect, createServer } from 'node:net';
import { onTestFinished } from 'vitest';
import { monotonicMs } from '../../src/common/index.js';

interface RelayedConnection {
  isSilent: boolean;
}

export class SilencingRelay {
  /** Number of accepted connections. */
  connections = 0;
  /** Number of connections that are open on the client side. */
  open = 0;
  address = '';
  private readonly relayed = new Set<RelayedConnection>();
  private silentUntil = 0;

  /** @param targetPort port on the loopback address */
  static async start(targetPort: number): Promise<SilencingRelay> {
    const relay = new SilencingRelay();
    const server = createServer((near) => relay.carry(near, targetPort));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    onTestFinished(() => void server.close());
    relay.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    return relay;
  }

  /**
   * Silences all open connections permanently without closing them, and those that are opened within
   * `newConnectionsMs`.
   */
  silence(newConnectionsMs: number): void {
    for (const connection of this.relayed) connection.isSilent = true;
    this.silentUntil = monotonicMs() + newConnectionsMs;
  }

  private carry(near: Socket, targetPort: number): void {
    this.connections += 1;
    this.open += 1;
    const connection: RelayedConnection = { isSilent: monotonicMs() < this.silentUntil };
    this.relayed.add(connection);
    const far = connect({ host: '127.0.0.1', port: targetPort });
    forward(connection, near, far);
    forward(connection, far, near);
    near.on('close', () => (this.open -= 1));
    onTestFinished(() => {
      near.destroy();
      far.destroy();
    });
  }
}

/** Forwards data and close from one side to the other, unless the connection is silent. */
function forward(connection: RelayedConnection, from: Socket, to: Socket): void {
  from.on('error', () => undefined);
  from.on('data', (bytes: Buffer) => {
    if (!connection.isSilent && !to.destroyed) to.write(bytes);
  });
  from.on('close', () => {
    if (!connection.isSilent) to.destroy();
  });
}
