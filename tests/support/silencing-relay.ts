/** A TCP relay whose connections can go silent for good without a reset, as after a lost machine or path. */
import { type AddressInfo, type Socket, connect, createServer } from 'node:net';
import { onTestFinished } from 'vitest';
import { monotonicMs } from '../../src/common/index.js';

/** One connection through the relay. */
interface RelayedConnection {
  isSilent: boolean;
}

export class SilencingRelay {
  /** Connections taken so far. */
  connections = 0;
  /** Connections that the near side has open. */
  open = 0;
  address = '';
  private readonly relayed = new Set<RelayedConnection>();
  private silentUntil = 0;

  /** @param targetPort on the loopback address */
  static async start(targetPort: number): Promise<SilencingRelay> {
    const relay = new SilencingRelay();
    const server = createServer((near) => relay.carry(near, targetPort));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    onTestFinished(() => void server.close());
    relay.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    return relay;
  }

  /**
   * All open connections carry nothing more from now on, and are not closed. Those that are opened within
   * the time are taken, and carry nothing either, ever.
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
    pass(connection, near, far);
    pass(connection, far, near);
    near.on('close', () => (this.open -= 1));
    onTestFinished(() => {
      near.destroy();
      far.destroy();
    });
  }
}

/** Carries bytes and the end of one side to the other, unless the connection has gone silent. */
function pass(connection: RelayedConnection, from: Socket, to: Socket): void {
  from.on('error', () => undefined);
  from.on('data', (bytes: Buffer) => {
    if (!connection.isSilent && !to.destroyed) to.write(bytes);
  });
  from.on('close', () => {
    if (!connection.isSilent) to.destroy();
  });
}
