/** A client on a raw socket that reads its response at a limited speed, and measures of the kernel's buffers. */
import { type Server, type Socket, connect, createServer } from 'node:net';
import { type ConnectionEnd, type StrictResponse, parseResponse } from './strict-caller.js';

const READ_INTERVAL_MS = 100;
const PROBE_BYTES = 64 * 1024;
/** Time in which the kernel takes what fits into its buffers. */
const SETTLING_MS = 100;

export class SlowCaller {
  /** Bytes of the response that were read. */
  readBytes = 0;
  private chunks: Buffer[] = [];
  private end: ConnectionEnd = 'open';
  private readonly timer: NodeJS.Timeout | undefined;
  private readonly ended: Promise<void>;

  private constructor(
    readonly socket: Socket,
    bytesPerSecond: number,
  ) {
    socket.on('end', () => (this.end = 'closed'));
    socket.on('error', () => (this.end = 'reset'));
    this.ended = new Promise((resolve) => socket.once('close', () => resolve()));
    const portion = Math.ceil((bytesPerSecond * READ_INTERVAL_MS) / 1_000);
    if (portion === 0) return;
    this.timer = setInterval(
      () => this.take(socket.read(portion) as Buffer | null),
      READ_INTERVAL_MS,
    );
    socket.once('close', () => clearInterval(this.timer));
  }

  /**
   * @param address `host:port`
   * @param bytesPerSecond 0 for a caller that never reads
   */
  static async connect(address: string, bytesPerSecond: number): Promise<SlowCaller> {
    const [host, port] = address.split(':');
    const socket = connect({ host: host!, port: Number(port) });
    await new Promise((resolve, reject) => {
      socket.once('connect', resolve);
      socket.once('error', reject);
    });
    socket.pause();
    return new SlowCaller(socket, bytesPerSecond);
  }

  get hasEnded(): boolean {
    return this.end !== 'open' || this.socket.destroyed;
  }

  /** The response received so far. */
  get response(): StrictResponse {
    const bytes = Buffer.concat(this.chunks);
    this.chunks = [bytes];
    return parseResponse(bytes.toString('latin1'), this.end);
  }

  /** Reads the rest without a limit. Resolves with the response once it is complete or the connection has closed. */
  async readRest(): Promise<StrictResponse> {
    clearInterval(this.timer);
    const { socket } = this;
    socket.on('data', (chunk: Buffer) => this.take(chunk));
    socket.resume();
    const complete = new Promise<void>((resolve) => {
      const check = (): void => {
        if (this.response.isComplete) resolve();
        else if (!socket.destroyed) setTimeout(check, READ_INTERVAL_MS);
      };
      check();
    });
    await Promise.race([complete, this.ended]);
    return this.response;
  }

  private take(chunk: Buffer | null): void {
    if (!chunk) return;
    this.chunks.push(chunk);
    this.readBytes += chunk.length;
  }
}

/** Returns how many bytes the kernel takes on a loopback connection whose peer does not read. */
export async function kernelBufferBytes(): Promise<number> {
  const server = createServer({ pauseOnConnect: true });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const accepted = new Promise<Socket>((resolve) => server.once('connection', resolve));
  const { port } = server.address() as { port: number };
  const writer = connect({ host: '127.0.0.1', port });
  const reader = await accepted;
  for (const socket of [writer, reader]) socket.on('error', () => undefined);
  const taken = await writeUntilFull(writer);
  await closeAll(server, [writer, reader]);
  return taken;
}

async function writeUntilFull(writer: Socket): Promise<number> {
  const probe = Buffer.alloc(PROBE_BYTES);
  let taken = 0;
  for (;;) {
    const isTaken = new Promise<boolean>((resolve) => {
      writer.write(probe, () => resolve(true));
      setTimeout(() => resolve(false), SETTLING_MS);
    });
    if (!(await isTaken)) return taken;
    taken += probe.length;
  }
}

async function closeAll(server: Server, sockets: Socket[]): Promise<void> {
  for (const socket of sockets) socket.destroy();
  await new Promise((resolve) => server.close(resolve));
}
