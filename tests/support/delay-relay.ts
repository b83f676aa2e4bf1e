/** A TCP relay that delays responses, like an overloaded process. */
import { type AddressInfo, connect, createServer } from 'node:net';
import { onTestFinished } from 'vitest';

export class DelayRelay {
  /** Delay of data from the target, in milliseconds. */
  delayMs = 0;
  /** Number of accepted connections. */
  connections = 0;
  address = '';

  /** @param targetPort port on the loopback address */
  static async start(targetPort: number): Promise<DelayRelay> {
    const relay = new DelayRelay();
    const server = createServer((near) => {
      relay.connections += 1;
      const far = connect({ host: '127.0.0.1', port: targetPort });
      near.on('error', () => far.destroy());
      far.on('error', () => near.destroy());
      near.on('close', () => far.destroy());
      near.pipe(far);
      far.on('data', (bytes: Buffer) => {
        setTimeout(() => near.destroyed || near.write(bytes), relay.delayMs);
      });
      far.on('close', () => near.destroy());
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    onTestFinished(() => void server.close());
    relay.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    return relay;
  }
}
