/**
 * Establishes one connection by staggered, overlapping attempts. An unresponsive attempt does not
 * delay the next one, because the peer may have recovered since. The first authenticated connection
 * wins, and the other attempts are aborted.
 */
import { Deferred, TimeoutError, monotonicMs, sleep } from '../common/index.js';
import type { RpcConnection } from './rpc-connection.js';

/** Delay between attempts while the peer does not respond. Part of several time budgets. */
export const CONNECTION_ATTEMPT_DELAY_MS = 400;
/**
 * For slow peers, the delay between attempts is this fraction of the silence limit, which bounds
 * the number of handshakes. With a constant delay of 400 ms, a peer that was late by 2 s got 18 handshakes in 10 s.
 */
export const ATTEMPT_DELAY_PER_SILENCE_LIMIT = 0.5;
/**
 * Delays are randomized between this fraction and the full delay, so that the peers of a restarted
 * process do not reconnect at the same time.
 */
const MIN_DELAY_FRACTION = 0.75;
/**
 * The delay grows with the time without a response, which limits the number of open connections.
 */
const DELAY_PER_SILENCE = 0.25;
const MAX_ATTEMPT_DELAY_MS = 1_600;

/** One attempt to connect and authenticate. */
export interface ConnectionAttempt {
  /** Aborted when the connection is no longer needed. */
  signal: AbortSignal;
  /** Called when the peer has responded, before it is authenticated. */
  onDataReceived: () => void;
}

export type OpenConnection = (attempt: ConnectionAttempt) => Promise<RpcConnection>;

export interface ConnectionRaceOptions {
  open: OpenConnection;
  /** Current silence limit of the peer, in milliseconds. */
  silenceLimitMs: () => number;
}

export class ConnectionRace {
  private readonly ended = new AbortController();
  private readonly result = new Deferred<RpcConnection | undefined>();
  private readonly startedAt = monotonicMs();
  private nextAttemptAt = 0;
  private pendingAttempts = 0;

  constructor(private readonly options: ConnectionRaceOptions) {
    void this.run();
  }

  /**
   * The established connection, or undefined if the race was stopped.
   * @throws the error of the last pending attempt, unless it is a timeout
   */
  get winner(): Promise<RpcConnection | undefined> {
    return this.result.promise;
  }

  /** Aborts all attempts, and closes a connection that has been established. */
  stop(): void {
    this.ended.abort();
    this.result.resolve(undefined);
    void this.result.promise.then(
      (connection) => connection?.close(),
      () => undefined,
    );
  }

  private async run(): Promise<void> {
    while (!this.ended.signal.aborted) {
      this.nextAttemptAt = monotonicMs() + this.nextDelayMs();
      void this.attemptOnce();
      await this.waitForNextAttempt();
    }
  }

  private async waitForNextAttempt(): Promise<void> {
    const { signal } = this.ended;
    for (;;) {
      const leftMs = this.nextAttemptAt - monotonicMs();
      if (leftMs <= 0 || signal.aborted) return;
      await sleep(leftMs, signal);
    }
  }

  private async attemptOnce(): Promise<void> {
    const startedAt = monotonicMs();
    const { signal } = this.ended;
    this.pendingAttempts += 1;
    try {
      const connection = await this.options.open({
        signal,
        onDataReceived: () => this.noteDataReceived(startedAt),
      });
      this.pendingAttempts -= 1;
      this.win(connection);
    } catch (error) {
      this.pendingAttempts -= 1;
      this.fail(error);
    }
  }

  private win(connection: RpcConnection): void {
    if (this.ended.signal.aborted) {
      connection.close();
      return;
    }
    this.result.resolve(connection);
    this.ended.abort();
  }

  /**
   * Other pending attempts may still succeed, and a timeout only means that the peer is slow so
   * far.
   */
  private fail(error: unknown): void {
    if (error instanceof TimeoutError || this.pendingAttempts > 0) return;
    this.result.reject(error);
    this.ended.abort();
  }

  /** Delays the next attempt while the handshake with a slow peer is in progress. */
  private noteDataReceived(startedAt: number): void {
    const now = monotonicMs();
    this.nextAttemptAt = Math.max(this.nextAttemptAt, now + (now - startedAt) + this.minDelayMs);
  }

  private get minDelayMs(): number {
    return Math.max(
      CONNECTION_ATTEMPT_DELAY_MS,
      this.options.silenceLimitMs() * ATTEMPT_DELAY_PER_SILENCE_LIMIT,
    );
  }

  private nextDelayMs(): number {
    const silentMs = monotonicMs() - this.startedAt;
    const proportionateMs = Math.max(this.minDelayMs, silentMs * DELAY_PER_SILENCE);
    const boundMs = Math.min(MAX_ATTEMPT_DELAY_MS, proportionateMs);
    return boundMs * (MIN_DELAY_FRACTION + Math.random() * (1 - MIN_DELAY_FRACTION));
  }
}
