/** Accepts authenticated connections and serves the methods of a router. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { sleep } from '../common/index.js';
import { AuthenticationError } from './errors.js';
import {
  type ClientProof,
  type ServerChallenge,
  type ServerProof,
  clientProof,
  createNonce,
  proofsMatch,
  serverProof,
} from './authentication.js';
import { FramedSocket } from './framed-socket.js';
import type { MethodRouter } from './method.js';
import { MAX_SILENCE_LIMIT_MS, RpcConnection } from './rpc-connection.js';

const HANDSHAKE_TIMEOUT_MS = 1_000;
/** A peer's proof takes about 250 bytes beside its name. */
const MAX_HANDSHAKE_BYTES = 4 * 1024;
const DEFAULT_MAX_HANDSHAKES = 512;

export interface RpcServerOptions {
  host: string;
  /** 0 to let the operating system choose. */
  port: number;
  secret: string;
  router: MethodRouter;
  /**
   * Called when the last active connection of a peer has closed. A replaced connection is not
   * reported, since a false report for a leader would cause an election. @default nothing
   */
  onDisconnect?: (peerName: string) => void;
  /** Connections that may be unauthenticated at once; the oldest gives way to a further one. @default 512 */
  maxHandshakes?: number;
}

export class RpcServer {
  private readonly connections = new Set<RpcConnection>();
  /** Connections that are not authenticated yet, oldest first. */
  private readonly handshakes = new Set<FramedSocket>();
  private failed = 0;
  private isDraining = false;

  private constructor(
    private readonly server: Server,
    private readonly options: RpcServerOptions,
  ) {}

  static async start(options: RpcServerOptions): Promise<RpcServer> {
    const server = createServer();
    const rpcServer = new RpcServer(server, options);
    server.on('connection', (socket) => void rpcServer.serve(socket));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.port, options.host, resolve);
    });
    return rpcServer;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Number of connections that are not authenticated yet. */
  get unauthenticatedConnections(): number {
    return this.handshakes.size;
  }

  /** Number of connections that were closed without being authenticated. */
  get failedHandshakes(): number {
    return this.failed;
  }

  /** Requests that are handled at the moment. */
  get runningRequests(): number {
    return [...this.connections].reduce((sum, { runningRequests }) => sum + runningRequests, 0);
  }

  /**
   * Begins no new request, and closes each connection once its requests are answered; idle ones at once.
   * @param limitMs maximum duration, in milliseconds
   * @returns the number of requests that were not answered
   */
  async drain(limitMs: number): Promise<number> {
    this.isDraining = true;
    this.server.close();
    for (const connection of this.connections) connection.drain();
    const limit = new AbortController();
    const allClosed = Promise.all([...this.connections].map(({ closed }) => closed));
    await Promise.race([allClosed, sleep(limitMs, limit.signal)]);
    limit.abort();
    const unanswered = this.runningRequests;
    this.close();
    return unanswered;
  }

  close(): void {
    this.server.close();
    for (const connection of this.connections) connection.close();
  }

  /** Half-open connections remain in the set, so silent ones are not counted. */
  private isConnected(peerName: string): boolean {
    return [...this.connections].some(
      (connection) =>
        connection.peerName === peerName && connection.silentMs <= MAX_SILENCE_LIMIT_MS,
    );
  }

  private async serve(socket: Socket): Promise<void> {
    const framed = new FramedSocket(socket, `${socket.remoteAddress}:${socket.remotePort}`);
    try {
      const name = await this.authenticate(framed);
      const connection = new RpcConnection(framed, this.options.router, name);
      this.connections.add(connection);
      if (this.isDraining) connection.drain();
      await connection.closed;
      this.connections.delete(connection);
      if (!this.isConnected(name)) this.options.onDisconnect?.(name);
    } catch {
      framed.destroy();
    }
  }

  private async authenticate(framed: FramedSocket): Promise<string> {
    const { secret, maxHandshakes = DEFAULT_MAX_HANDSHAKES } = this.options;
    this.handshakes.add(framed);
    if (this.handshakes.size > maxHandshakes) this.closeOldestHandshake();
    try {
      return await acceptHandshake(framed, secret);
    } catch (error) {
      this.failed += 1;
      throw error;
    } finally {
      this.handshakes.delete(framed);
    }
  }

  private closeOldestHandshake(): void {
    const [oldest] = this.handshakes;
    if (!oldest) return;
    this.handshakes.delete(oldest);
    oldest.destroy();
  }
}

async function acceptHandshake(framed: FramedSocket, secret: string): Promise<string> {
  const nonce = createNonce();
  framed.limitReceived(MAX_HANDSHAKE_BYTES);
  framed.send({ nonce } satisfies ServerChallenge);
  const response = await framed.readFrame<ClientProof>('wire.authenticate', HANDSHAKE_TIMEOUT_MS);
  const expected = clientProof(secret, nonce, String(response.nonce), String(response.name));
  if (!proofsMatch(expected, String(response.proof))) {
    throw new AuthenticationError('peer failed authentication: wrong proof', {
      step: 'wire.authenticate',
      peer: framed.peer,
    });
  }
  framed.limitReceived(Infinity);
  framed.send({ proof: serverProof(secret, nonce, response.nonce) } satisfies ServerProof);
  return response.name;
}
