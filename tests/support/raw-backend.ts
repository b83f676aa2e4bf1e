/** A back end for tests that answers every request with bytes and socket events of a script. */
import { type AddressInfo, type Server, type Socket, createServer } from 'node:net';
import { setImmediate as nextPoll } from 'node:timers/promises';
import { sleep } from '../../src/common/index.js';

/** One thing that the back end does on the connection of a request. */
export type ScriptStep =
  | { kind: 'write'; bytes: string }
  | { kind: 'wait'; ms: number }
  /** Orderly close: everything written before arrives, then the end of the stream (FIN). */
  | { kind: 'close' }
  /** Abortive close: the other side sees ECONNRESET (RST). */
  | { kind: 'reset' };

/** Long enough for bytes that were written to be read before a reset overtakes them. */
const DELIVERY_MS = 15;
const END_OF_HEAD = '\r\n\r\n';

export const write = (bytes: string): ScriptStep => ({ kind: 'write', bytes });
export const wait = (ms: number): ScriptStep => ({ kind: 'wait', ms });
export const close: ScriptStep = { kind: 'close' };
/** A reset after what was written has been read. */
export const reset: readonly ScriptStep[] = [wait(DELIVERY_MS), { kind: 'reset' }];

export class RawBackend {
  /** Heads of the requests that arrived, in order. */
  readonly requests: string[] = [];
  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly script: (request: string, number: number) => readonly ScriptStep[],
  ) {}

  /** @param script what to do about a request, by its head and its number, from 0 */
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
    // One request at a time: what follows an answer never lands inside the next one.
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

  /** Waits, and lets this process read its sockets at least once however late the timer is. */
  private async wait(ms: number): Promise<void> {
    await sleep(ms);
    await nextPoll();
    await nextPoll();
  }
}
