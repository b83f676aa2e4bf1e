/**
 * Connections to one back end: kept ones are reused, the most recent first, and no more are opened
 * than this process's share of what the back end takes.
 */
import { Client, type Dispatcher } from 'undici';
import { backendConnector } from '../http/index.js';

/** Longest time until a connection is established, in milliseconds. */
const CONNECT_TIMEOUT_MS = 450;
/** Idle connections are closed before the back end is likely to close them, in milliseconds. */
const KEEP_ALIVE_MS = 4_000;
/** Closed this much earlier than the back end announces, in milliseconds. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

export type DispatchOptions = Pick<
  Dispatcher.DispatchOptions,
  'path' | 'method' | 'headers' | 'body'
>;

/** One connection; carries one call at a time. */
export class BackendConnection {
  private isOpen = true;

  constructor(
    private readonly client: Client,
    private readonly owner: BackendConnectionPool,
  ) {
    client.on('disconnect', () => this.discard());
    client.on('connectionError', () => this.discard());
  }

  dispatch(options: DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.client.dispatch({ ...options, headersTimeout: 0, bodyTimeout: 0 }, handler);
  }

  /** Gives the connection back after a whole answer; it is kept if it is still open. */
  release(): void {
    if (this.isOpen) this.owner.keep(this);
  }

  /** Closes the connection. */
  discard(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.owner.forget(this);
    this.client.destroy().catch(() => undefined);
  }
}

export class BackendConnectionPool {
  private readonly idle: BackendConnection[] = [];
  private readonly open = new Set<BackendConnection>();

  /** @param address `host:port` of the back end */
  constructor(
    private readonly address: string,
    private readonly limit: () => number,
  ) {}

  get hasRoom(): boolean {
    return this.idle.length > 0 || this.open.size < this.limit();
  }

  acquire(): BackendConnection | undefined {
    const kept = this.idle.pop();
    if (kept) return kept;
    if (this.open.size >= this.limit()) return undefined;
    const client = new Client(`http://${this.address}`, {
      pipelining: 1,
      connect: backendConnector(CONNECT_TIMEOUT_MS),
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const connection = new BackendConnection(client, this);
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

  /** Closes idle connections; those under way close when they are given back. */
  closeIdle(): void {
    for (const connection of [...this.idle]) connection.discard();
  }
}
