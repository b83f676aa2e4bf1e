/**
 * Connection pool of one backend. Idle connections are reused, the most recent first; the number of
 * connections is limited to this process's share of the backend's limit.
 */
import { Client, type Dispatcher } from 'undici';
import { type BackendSocket, backendConnector } from '../http/index.js';

const CONNECT_TIMEOUT_MS = 450;
/**
 * Maximum number of bytes of an answer between two parts of its head or body, many times what undici takes as one head. What a
 * paused connection has buffered, 128 KiB at most, counts until it is read.
 */
const MAX_FRAMING_BYTES = 256 * 1024;
/** Idle timeout, shorter than the usual timeout of backends, in milliseconds. */
const KEEP_ALIVE_MS = 4_000;
/** Margin subtracted from a keep-alive timeout announced by the backend, in milliseconds. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

export type DispatchOptions = Pick<
  Dispatcher.DispatchOptions,
  'path' | 'method' | 'headers' | 'body'
>;

/** A connection that carries one call at a time. */
export class BackendConnection {
  private isOpen = true;
  private calls = 0;
  private socket: BackendSocket | undefined;

  constructor(
    private readonly client: Client,
    private readonly pool: BackendConnectionPool,
  ) {
    client.on('disconnect', () => this.discard());
    client.on('connectionError', () => this.discard());
  }

  noteConnected(socket: BackendSocket): void {
    this.socket = socket;
  }

  /** Whether it has carried other calls before the current one, of which late bytes may follow. */
  get wasUsedBefore(): boolean {
    return this.calls > 1;
  }

  /** A head or a part of a body was received. */
  notePart(): void {
    this.socket?.notePart();
  }

  dispatch(options: DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.notePart();
    this.calls += 1;
    this.client.dispatch({ ...options, headersTimeout: 0, bodyTimeout: 0 }, handler);
  }

  /** Returns the connection to the pool after a complete response. */
  release(): void {
    if (this.isOpen) this.pool.keep(this);
  }

  /** Closes the connection. */
  discard(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.pool.forget(this);
    this.client.destroy().catch(() => undefined);
  }
}

export class BackendConnectionPool {
  private readonly idle: BackendConnection[] = [];
  private readonly open = new Set<BackendConnection>();

  /** @param address `host:port` of the backend */
  constructor(
    private readonly address: string,
    private readonly limit: () => number,
  ) {}

  get hasRoom(): boolean {
    return this.idle.length > 0 || this.open.size < this.limit();
  }

  acquire(): BackendConnection | undefined {
    const idleConnection = this.idle.pop();
    if (idleConnection) return idleConnection;
    if (this.open.size >= this.limit()) return undefined;
    const connect = backendConnector(CONNECT_TIMEOUT_MS, {
      maxUnreportedBytes: MAX_FRAMING_BYTES,
      onConnected: (socket) => connection.noteConnected(socket),
    });
    const client = new Client(`http://${this.address}`, {
      pipelining: 1,
      connect,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const connection: BackendConnection = new BackendConnection(client, this);
    this.open.add(connection);
    return connection;
  }

  keep(connection: BackendConnection): void {
    if (this.open.has(connection)) this.idle.push(connection);
  }

  forget(connection: BackendConnection): void {
    this.open.delete(connection);
    const position = this.idle.indexOf(connection);
    if (position >= 0) this.idle.splice(position, 1);
  }

  /** Closes the idle connections. */
  closeIdle(): void {
    for (const connection of [...this.idle]) connection.discard();
  }
}
