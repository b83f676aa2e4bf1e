/**
 * TCP socket for undici's HTTP client, which treats some connection failures as the end of a response.
 * This socket reports them as errors:
 *
 * - After the head of a response without a length, undici treats ECONNRESET as an orderly close and
 *   completes the body. Here a reset is raised as ConnectionResetError, which fails the response.
 * - A reset that arrives with the last bytes is reported as the end of the stream. It is recognized by
 *   the missing remote address.
 * - While its parser is paused for a slow reader, undici asserts that the stream does not end; the failed
 *   assertion would terminate the process. Node emits the end as soon as the peer has closed and nothing
 *   is buffered; here it is delayed until the reader requests more data.
 *
 * It also bounds the bytes that undici reads without reporting them, such as a chunk extension without an end.
 */
import { Socket } from 'node:net';
import type { buildConnector } from 'undici';
import { LedgegaugeError } from '../common/index.js';
import { processGcTrigger } from '../memory-budget/index.js';
import { isPeerLost } from './lost-peer.js';

/** The peer reset the connection; data that was not delivered is lost. */
export class ConnectionResetError extends LedgegaugeError {}

/** The connection was not established in time; nothing was sent. */
export class ConnectTimeoutError extends LedgegaugeError {
  /** Error code of undici's own connector. */
  readonly code = 'UND_ERR_CONNECT_TIMEOUT';
}

/** The peer sent more bytes than the limit that are no part of a response's head or body. */
export class FramingTooLargeError extends LedgegaugeError {}

const RESET_CODE = 'ECONNRESET';
const HTTP_PORT = 80;

export class BackendSocket extends Socket {
  /** Whether the peer has closed its side; earlier data may still be buffered. */
  private hasReceivedEnd = false;
  /** Bytes received since the reader last reported a part of the response. */
  private unreportedBytes = 0;

  /**
   * @param peerAddress `host:port` of the peer, for errors
   * @param maxUnreportedBytes maximum number of bytes between two calls of `notePart`
   */
  constructor(
    private readonly peerAddress: string,
    private readonly maxUnreportedBytes = Infinity,
  ) {
    super();
  }

  /** The reader has a head, a part of a body, or sends a request. */
  notePart(): void {
    this.unreportedBytes = 0;
  }

  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    super._destroy(this.toResetError(error), callback);
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null) return this.noteReceived(chunk as Buffer) && super.push(chunk, encoding);
    if (isPeerLost(this)) {
      this.destroy(this.resetError(undefined));
      return false;
    }
    this.hasReceivedEnd = true;
    return super.push(null);
  }

  /** Signals the end of the stream only to a read that requests data when none is left. */
  override read(size?: number): unknown {
    if (!this.hasReceivedEnd) return super.read(size);
    if (size === 0) return null;
    // Reading without a size would also signal the end; reading the exact buffered length does not.
    return super.read(size ?? (this.readableLength > 0 ? this.readableLength : undefined));
  }

  /** @returns false if the limit is exceeded and the connection is closed */
  private noteReceived({ length }: Buffer): boolean {
    processGcTrigger.noteReceived(length);
    this.unreportedBytes += length;
    if (this.unreportedBytes <= this.maxUnreportedBytes) return true;
    const context = { step: 'backend.receive', peer: this.peerAddress, retriable: true };
    this.destroy(new FramingTooLargeError('bytes without a part of an answer', context));
    return false;
  }

  private toResetError(error: Error | null): Error | null {
    const isReset = (error as NodeJS.ErrnoException | null)?.code === RESET_CODE;
    return isReset ? this.resetError(error) : error;
  }

  private resetError(cause: unknown): ConnectionResetError {
    const context = { step: 'backend.receive', peer: this.peerAddress, retriable: true, cause };
    return new ConnectionResetError('connection reset', context);
  }
}

export interface BackendConnectorOptions {
  /** Maximum number of bytes between two calls of the socket's `notePart`. @default no limit */
  maxUnreportedBytes?: number;
  /** Called when a connection is established. */
  onConnected?: (socket: BackendSocket) => void;
}

/** @param timeoutMs maximum time to establish a connection, in milliseconds */
export function backendConnector(
  timeoutMs: number,
  { maxUnreportedBytes, onConnected }: BackendConnectorOptions = {},
): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const address = `${hostname}:${port || HTTP_PORT}`;
    const socket = new BackendSocket(address, maxUnreportedBytes);
    const timer = setTimeout(() => {
      const context = { step: 'backend.connect', peer: address, retriable: true };
      socket.destroy(new ConnectTimeoutError('connection not established in time', context));
    }, timeoutMs);
    const fail = (error: Error): void => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once('error', fail);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      onConnected?.(socket);
      callback(null, socket);
    });
    socket.setNoDelay(true);
    socket.connect({ host: hostname, port: Number(port || HTTP_PORT) });
    return socket;
  };
}
