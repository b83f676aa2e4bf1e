/** The open connections of a server. When there are too many, the one that has been idle longest gives way to a new one. */
import type { Socket } from 'node:net';

export class OpenConnections {
  /** Number of connections that were closed in favour of new ones. */
  closedIdle = 0;
  /** Number of connections that were not accepted because all others were in use. */
  refused = 0;
  private readonly open = new Set<Socket>();
  /** Connections without a request, the one that has been idle longest first. */
  private readonly idle = new Set<Socket>();
  private readonly busy = new Set<Socket>();

  constructor(private readonly max: number) {}

  /** Connections with a request. */
  get inUse(): ReadonlySet<Socket> {
    return this.busy;
  }

  get count(): number {
    return this.open.size;
  }

  /** @returns whether the new connection may be used; if not, the caller must close it */
  admit(socket: Socket): boolean {
    if (this.open.size >= this.max && !this.closeLongestIdle()) {
      this.refused += 1;
      return false;
    }
    this.open.add(socket);
    this.idle.add(socket);
    socket.once('close', () => this.forget(socket));
    return true;
  }

  /** Must be called when a request is received on a connection without one. */
  noteBusy(socket: Socket): void {
    this.idle.delete(socket);
    if (this.open.has(socket)) this.busy.add(socket);
  }

  /** Must be called when the last response on a connection is sent. */
  noteIdle(socket: Socket): void {
    this.busy.delete(socket);
    if (this.open.has(socket)) this.idle.add(socket);
  }

  private closeLongestIdle(): boolean {
    const [longest] = this.idle;
    if (!longest) return false;
    this.closedIdle += 1;
    this.forget(longest);
    longest.destroy();
    return true;
  }

  private forget(socket: Socket): void {
    this.open.delete(socket);
    this.idle.delete(socket);
    this.busy.delete(socket);
  }
}
