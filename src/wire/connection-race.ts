/**
 * Opens one connection by tries that overlap. A try that meets silence is left to itself, and does not
 * hold up the next one: what lets the peer speak again may have come after it. The first whose peer
 * proves itself wins, and the others are given up.
 */
import { Deferred, TimeoutError, monotonicMs, sleep } from '../common/index.js';
import type { RpcConnection } from './rpc-connection.js';

/** From one try to the next one while all meet silence, in milliseconds; part of several budgets. */
export const CONNECTION_ATTEMPT_DELAY_MS = 400;
/**
 * Tries at a peer whose answers came late keep this share of its limit of silence apart. At a pace of
 * 400 ms one that is late by 2 s was given 18 handshakes in 10 s.
 */
export const ATTEMPT_DELAY_PER_SILENCE_LIMIT = 0.5;
/** A pause is this share of its bound at least: all peers of a process that comes back have tried in vain. */
const MIN_DELAY_FRACTION = 0.75;
/** Tries come no faster than in proportion to the silence: a long one leaves few connections to clear up. */
const DELAY_PER_SILENCE = 0.25;
const MAX_ATTEMPT_DELAY_MS = 1_600;

/** One try to connect and to prove both sides. */
export interface ConnectionAttempt {
  /** The connection is not wanted any more. */
  signal: AbortSignal;
  /** The peer has spoken, but has not proved itself yet. */
  onDataReceived: () => void;
}

export type OpenConnection = (attempt: ConnectionAttempt) => Promise<RpcConnection>;

export interface ConnectionRaceOptions {
  open: OpenConnection;
  /** The silence after which the peer's connections are suspect at present, in milliseconds. */
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
   * The connection, or nothing once the race has been stopped.
   * @throws what the last open try failed with, unless that was silence
   */
  get winner(): Promise<RpcConnection | undefined> {
    return this.result.promise;
  }

  /** Gives up all tries, and a connection that has won. */
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

  /** The peer of another try may only be late; silence says no more than that there is no answer yet. */
  private fail(error: unknown): void {
    if (error instanceof TimeoutError || this.pendingAttempts > 0) return;
    this.result.reject(error);
    this.ended.abort();
  }

  /** A peer that is only late gets no more handshakes to do while one of them is on its way. */
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
