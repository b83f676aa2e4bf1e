/**
 * Closes connections whose request was refused before all of it was read. A connection that is closed with unread data is
 * reset, and a caller that is still sending then loses the response. Hence the rest of the request is read and discarded,
 * for a limited time, after the response and the end of this side of the connection are sent.
 */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Maximum time from the response until the connection is closed, in milliseconds. */
const MAX_LINGER_MS = 1_000;

export class LingeringConnections {
  private readonly sockets = new Set<Socket>();

  /** Number of connections whose response is sent, and whose caller has not closed them yet. */
  get count(): number {
    return this.sockets.size;
  }

  /** Must be called before the response that refuses the request, and closes its connection, is sent. */
  lingerAfter(request: IncomingMessage): void {
    const { socket } = request;
    const closeAtOnce = socket.destroySoon.bind(socket);
    // Node calls it after a response that closes its connection, and goes on reading as long as the socket is open.
    socket.destroySoon = () => {
      if (request.complete) closeAtOnce();
      else this.linger(socket);
    };
  }

  /** Ends this side of the connection; must be called once nothing more is written to it. */
  linger(socket: Socket): void {
    if (socket.destroyed) return;
    this.sockets.add(socket);
    const timer = setTimeout(() => socket.destroy(), MAX_LINGER_MS);
    socket.once('end', () => socket.destroy());
    socket.once('close', () => {
      clearTimeout(timer);
      this.sockets.delete(socket);
    });
    socket.end();
  }
}
