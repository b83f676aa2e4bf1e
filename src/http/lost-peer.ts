/** Tells a reset from an orderly close where Node reports the same end of a stream for both. */
import type { Socket } from 'node:net';

/**
 * Whether a socket whose stream ends was reset. When a reset arrives together with the last bytes, libuv reports the end of
 * the stream and no error. After an orderly close the socket still has a remote address, since this side is open; after a
 * reset it has none. Must be called at the end of the stream, and the address not be read earlier: Node caches it on first access.
 */
export function isPeerLost(socket: Socket): boolean {
  return !socket.destroyed && socket.remoteAddress === undefined;
}
