/**
 * A persistent link to one peer: connects, authenticates, and reconnects with backoff after the
 * connection has closed. Requests fail immediately while the link is down.
 *
 * A suspect connection is kept until a replacement is established: closing it would lose the
 * responses of a peer that is only slow, and cost it another handshake. Reconnection attempts
 * continue while the peer is silent. When a replacement is established, pending calls on the old
 * connection fail and may be retried.
 */
import { connect, type Socket } from 'node:net';
import { Backoff, SignalEvent, sleep } from '../common/index.js';
import { AuthenticationError, LinkError } from './errors.js';
import {
  type ServerChallenge,
  type ServerProof,
  clientProof,
  createNonce,
  proofsMatch,
  serverProof,
} from './authentication.js';
import { ConnectionRace, type ConnectionAttempt } from './connection-race.js';
import { FramedSocket } from './framed-socket.js';
import type { Method } from './method.js';
import { MethodRouter } from './method.js';
import type { CallOptions } from './pending-calls.js';
import { RpcConnection, createSilenceLimit } from './rpc-connection.js';

/**
 * Short, because the operating system retransmits an unanswered SYN only after a second; a new
 * attempt finds a restarted machine sooner.
 */
export const CONNECT_TIMEOUT_MS = 200;
/**
 * Long enough for slow peers. Further attempts start in parallel, so a pending one delays nothing.
 */
const HANDSHAKE_STEP_TIMEOUT_MS = 3_200;
/** Short enough for a running leader to reconnect and send a heartbeat before an election. */
export const INITIAL_RECONNECT_DELAY_MS = 20;
export const MAXIMUM_RECONNECT_DELAY_MS = 100;

export interface PeerLinkOptions {
  /** `host:port` to connect to. */
  address: string;
  /** Name of this process, sent to the peer. */
  ownName: string;
  secret: string;
  /** Methods that the peer may call over this link. @default none */
  router?: MethodRouter;
}

export class PeerLink {
  private connection: RpcConnection | undefined;
  /** Establishes the next connection while the current one is suspect or closed. */
  private race: ConnectionRace | undefined;
  private readonly silenceLimit = createSilenceLimit();
  private readonly stopping = new AbortController();
  private readonly connected = new SignalEvent();
  private readonly traffic = { received: 0, sent: 0 };

  constructor(private readonly options: PeerLinkOptions) {
    void this.run();
  }

  get address(): string {
    return this.options.address;
  }

  /** Whether there is a connection that is not suspect. */
  get isConnected(): boolean {
    return this.connection !== undefined && this.connection.isOpen && !this.connection.isSuspect;
  }

  /** Bytes sent and received over all connections of this link. */
  get totalTraffic(): { received: number; sent: number } {
    const current = this.connection?.traffic ?? { received: 0, sent: 0 };
    return {
      received: this.traffic.received + current.received,
      sent: this.traffic.sent + current.sent,
    };
  }

  /** Sends a request over the current connection. See `RpcConnection.call` for the errors. */
  call<Request, Response>(
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response> {
    if (!this.connection?.isOpen) return Promise.reject(this.linkDownError(method.name));
    return this.connection.call(method, request, options);
  }

  notify<Request>(method: Method<Request, void>, request: Request): void {
    this.connection?.notify(method, request);
  }

  /** Waits up to `timeoutMs` for the link and resolves with whether it is up. */
  async waitConnected(timeoutMs: number): Promise<boolean> {
    if (!this.isConnected) await this.connected.waitWithTimeout(timeoutMs);
    return this.isConnected;
  }

  close(): void {
    this.stopping.abort();
    this.connection?.close();
    this.race?.stop();
  }

  private async run(): Promise<void> {
    const backoff = new Backoff({
      initialMs: INITIAL_RECONNECT_DELAY_MS,
      maximumMs: MAXIMUM_RECONNECT_DELAY_MS,
    });
    while (!this.stopping.signal.aborted) {
      try {
        const connection = await this.startRace().winner;
        this.race = undefined;
        if (!connection) continue;
        backoff.reset();
        await this.useUntilClosed(connection);
        if (this.race) continue;
      } catch {
        // Any failure is retried after the delay below; callers get a LinkError meanwhile.
        this.race = undefined;
      }
      await sleep(backoff.nextDelayMs(), this.stopping.signal);
    }
  }

  /** Uses a connection until it has closed. */
  private async useUntilClosed(connection: RpcConnection): Promise<void> {
    this.connection = connection;
    this.connected.notify();
    await connection.closed;
    this.traffic.received += connection.traffic.received;
    this.traffic.sent += connection.traffic.sent;
    this.connection = undefined;
  }

  /** Returns the race for the next connection, started if necessary. */
  private startRace(): ConnectionRace {
    this.race ??= new ConnectionRace({
      open: (attempt) => this.open(attempt),
      silenceLimitMs: () => this.silenceLimit.currentMs,
    });
    return this.race;
  }

  private async replaceSuspect(suspect: RpcConnection): Promise<void> {
    if (suspect !== this.connection) return;
    try {
      const replacement = await this.startRace().winner;
      if (replacement) suspect.close();
    } catch {
      // A timeout in the handshake gives no new information, but an unreachable machine does.
      suspect.close();
    }
  }

  /** Stops the race when the suspect connection is responsive again. */
  private keepResponsive(connection: RpcConnection): void {
    if (connection !== this.connection) return;
    this.race?.stop();
    this.race = undefined;
  }

  private async open(attempt: ConnectionAttempt): Promise<RpcConnection> {
    const socket = await dial(this.options.address);
    const framed = new FramedSocket(socket, this.options.address);
    const abort = (): void => framed.destroy();
    attempt.signal.addEventListener('abort', abort, { once: true });
    try {
      if (attempt.signal.aborted) abort();
      await this.authenticate(framed, attempt);
    } catch (error) {
      framed.destroy();
      throw error;
    } finally {
      attempt.signal.removeEventListener('abort', abort);
    }
    return this.createConnection(framed);
  }

  private createConnection(framed: FramedSocket): RpcConnection {
    const router = this.options.router ?? new MethodRouter();
    const connection: RpcConnection = new RpcConnection(framed, router, this.options.address, {
      silenceLimit: this.silenceLimit,
      onSuspect: () => void this.replaceSuspect(connection),
      onResponsive: () => this.keepResponsive(connection),
    });
    return connection;
  }

  private async authenticate(
    framed: FramedSocket,
    { onDataReceived }: ConnectionAttempt,
  ): Promise<void> {
    const { ownName, secret } = this.options;
    const step = 'wire.authenticate';
    const challenge = await framed.readFrame<ServerChallenge>(step, HANDSHAKE_STEP_TIMEOUT_MS);
    onDataReceived();
    const nonce = createNonce();
    const proof = clientProof(secret, challenge.nonce, nonce, ownName);
    framed.send({ name: ownName, nonce, proof });
    const response = await framed.readFrame<ServerProof>(step, HANDSHAKE_STEP_TIMEOUT_MS);
    if (!proofsMatch(serverProof(secret, challenge.nonce, nonce), String(response.proof))) {
      throw new AuthenticationError('peer failed authentication: wrong proof', {
        step,
        peer: framed.peer,
      });
    }
  }

  private linkDownError(step: string): LinkError {
    return new LinkError('link is down', { step, peer: this.options.address, retriable: true });
  }
}

export function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

function dial(address: string): Promise<Socket> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port });
    const fail = (cause?: unknown): void => {
      clearTimeout(timer);
      socket.destroy();
      reject(
        new LinkError('cannot connect', {
          step: 'wire.connect',
          peer: address,
          retriable: true,
          cause,
        }),
      );
    };
    const timer = setTimeout(fail, CONNECT_TIMEOUT_MS);
    socket.once('error', fail);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      resolve(socket);
    });
  });
}
