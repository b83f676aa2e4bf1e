/** Closes connections whose caller takes nothing of what it is sent. */
import type { Socket } from 'node:net';

const CHECK_MS = 1_000;

export class UnreadConnections {
  /** Connections with unsent bytes. Their sockets' timeout starts again whenever the caller takes some of them. */
  private readonly timed = new Set<Socket>();
  private timer: NodeJS.Timeout | undefined;

  /** @param inUse returns the connections with a request; Node sets the timeout of the others itself */
  constructor(
    private readonly timeoutMs: number,
    private readonly inUse: () => ReadonlySet<Socket>,
  ) {}

  start(): void {
    this.timer ??= setInterval(() => this.check(), CHECK_MS);
    this.timer.unref();
  }

  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private check(): void {
    const inUse = this.inUse();
    for (const socket of this.timed) {
      if (!inUse.has(socket)) this.timed.delete(socket);
      else if (socket.writableLength === 0) this.stopTimeout(socket);
    }
    for (const socket of inUse) {
      if (socket.writableLength > 0 && !this.isTimed(socket)) this.startTimeout(socket);
    }
  }

  /** Node sets the timeout of a connection anew between two requests. */
  private isTimed(socket: Socket): boolean {
    return this.timed.has(socket) && socket.timeout === this.timeoutMs;
  }

  /** Node destroys a socket after its timeout. */
  private startTimeout(socket: Socket): void {
    this.timed.add(socket);
    socket.setTimeout(this.timeoutMs);
  }

  private stopTimeout(socket: Socket): void {
    this.timed.delete(socket);
    socket.setTimeout(0);
  }
}
