/** A backend for tests that responds to each request with scripted bytes and socket events. */
import { type AddressInfo, type Server, type Socket, createServer } from 'node:net';
import { setImmediate as nextPoll } from 'node:timers/promises';
import { sleep } from '../../src/common/index.js';

/** One step of the script, performed on the connection of the request. */
export type ScriptStep =
  | { kind: 'write'; bytes: string }
  | { kind: 'wait'; ms: number }
  /** Graceful close (FIN) after all written data. */
  | { kind: 'close' }
  /** Abortive close (RST), which the peer sees as ECONNRESET. */
  | { kind: 'reset' };

/** Allows the peer to read written bytes before the reset discards them. */
const RESET_DELAY_MS = 15;
const END_OF_HEAD = '\r\n\r\n';

export const write = (bytes: string): ScriptStep => ({ kind: 'write', bytes });
export const wait = (ms: number): ScriptStep => ({ kind: 'wait', ms });
export const close: ScriptStep = { kind: 'close' };
/** A reset after the peer has read the written bytes. */
export const reset: readonly ScriptStep[] = [wait(RESET_DELAY_MS), { kind: 'reset' }];

export class RawBackend {
  /** Heads of the received requests, in order. */
  readonly requests: string[] = [];
  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly script: (request: string, number: number) => readonly ScriptStep[],
  ) {}

  /** @param script returns the steps for a request, given its head and its number, starting at 0 */
  static async start(
    script: (request: string, number: number) => readonly ScriptStep[],
  ): Promise<RawBackend> {
    const server = createServer((socket) => backend.serve(socket));
    const backend: RawBackend = new RawBackend(server, script);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return backend;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  get openConnections(): number {
    return this.sockets.size;
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private serve(socket: Socket): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    let received = '';
    // Serialized, so that the bytes of responses do not interleave.
    let played = Promise.resolve();
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
      for (let end = received.indexOf(END_OF_HEAD); end >= 0; end = received.indexOf(END_OF_HEAD)) {
        const request = received.slice(0, end);
        received = received.slice(end + END_OF_HEAD.length);
        played = played.then(() => this.play(socket, request));
      }
    });
  }

  private async play(socket: Socket, request: string): Promise<void> {
    const number = this.requests.push(request) - 1;
    for (const step of this.script(request, number)) {
      if (step.kind === 'write') socket.write(step.bytes, 'latin1');
      else if (step.kind === 'wait') await this.wait(step.ms);
      else if (step.kind === 'close') socket.end();
      else socket.resetAndDestroy();
    }
  }

  /** Waits, and lets this process poll its sockets at least once even if the timer is late. */
  private async wait(ms: number): Promise<void> {
    await sleep(ms);
    await nextPoll();
    await nextPoll();
  }
}
