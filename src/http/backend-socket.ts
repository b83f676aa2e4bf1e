/**
 * TCP connections to back ends for undici's HTTP client, which takes some endings of a connection
 * for the end of an answer. This socket makes those endings tell apart:
 *
 * - After the head of an answer without a length, undici takes ECONNRESET for an orderly close and
 *   completes the body. A reset is raised under a class of its own here, which fails the answer.
 * - A reset that arrives with the last bytes is reported as the end of the stream; the connection
 *   has no peer any more then, which tells it from an orderly close.
 * - While its parser is paused for a slow reader, undici asserts that the stream does not end, and
 *   the assertion ends the process. Node announces the end as soon as the peer has closed and
 *   nothing is buffered; here it waits until the reader asks for more.
 */
import { Socket } from 'node:net';
import type { buildConnector } from 'undici';
import { LedgegaugeError } from '../common/index.js';

/** The peer reset a connection; what it had not delivered yet is lost. */
export class ConnectionResetError extends LedgegaugeError {}

/** A connection was not established in time; nothing was sent on it. */
export class ConnectTimeoutError extends LedgegaugeError {
  /** The code by which undici's own connector names this. */
  readonly code = 'UND_ERR_CONNECT_TIMEOUT';
}

const RESET_CODE = 'ECONNRESET';
const HTTP_PORT = 80;

export class BackendSocket extends Socket {
  /** Whether the peer has closed its side; bytes from before may still wait to be read. */
  private hasReceivedEnd = false;

  /** @param peerAddress `host:port` of the peer, for errors */
  constructor(private readonly peerAddress: string) {
    super();
  }

  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    super._destroy(this.describe(error), callback);
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null) return super.push(chunk, encoding);
    if (this.isPeerGone) {
      this.destroy(this.resetError(undefined));
      return false;
    }
    this.hasReceivedEnd = true;
    return super.push(null);
  }

  /**
   * libuv reports the end of the stream, and no error, when a reset arrives together with the last
   * bytes. After an orderly close the connection still has a peer, since this side is open; after a
   * reset it has none. Node asks for the address once and keeps it, so nothing may ask before.
   */
  private get isPeerGone(): boolean {
    return !this.destroyed && this.remoteAddress === undefined;
  }

  /** Announces the end of the stream only to a read that asks for bytes and finds none left. */
  override read(size?: number): unknown {
    if (!this.hasReceivedEnd) return super.read(size);
    if (size === 0) return null;
    // A read of all that is buffered would find the end as well; one of its exact length does not.
    return super.read(size ?? (this.readableLength > 0 ? this.readableLength : undefined));
  }

  private describe(error: Error | null): Error | null {
    const isReset = (error as NodeJS.ErrnoException | null)?.code === RESET_CODE;
    return isReset ? this.resetError(error) : error;
  }

  private resetError(cause: unknown): ConnectionResetError {
    const context = { step: 'backend.receive', peer: this.peerAddress, retriable: true, cause };
    return new ConnectionResetError('connection reset', context);
  }
}

/** @param timeoutMs longest time until a connection is established, in milliseconds */
export function backendConnector(timeoutMs: number): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const address = `${hostname}:${port || HTTP_PORT}`;
    const socket = new BackendSocket(address);
    const timer = setTimeout(() => {
      const context = { step: 'backend.connect', peer: address, retriable: true };
      socket.destroy(new ConnectTimeoutError('no connection in time', context));
    }, timeoutMs);
    const fail = (error: Error): void => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once('error', fail);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      callback(null, socket);
    });
    socket.setNoDelay(true);
    socket.connect({ host: hostname, port: Number(port || HTTP_PORT) });
    return socket;
  };
}
