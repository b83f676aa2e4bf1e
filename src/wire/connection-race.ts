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
const SHORTEST_PAUSE_SHARE = 0.75;
/** Tries come no faster than in proportion to the silence: a long one leaves few connections to clear up. */
const PAUSE_SHARE_OF_SILENCE = 0.25;
const LONGEST_PAUSE_MS = 1_600;

/** One try to connect and to prove both sides. */
export interface ConnectionAttempt {
  /** The connection is not wanted any more. */
  signal: AbortSignal;
  /** The peer has spoken, but has not proved itself yet. */
  onHeard: () => void;
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
  private nextTryAt = 0;
  private openTries = 0;

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
      this.nextTryAt = monotonicMs() + this.pauseMs();
      void this.tryOnce();
      await this.waitForNextTry();
    }
  }

  private async waitForNextTry(): Promise<void> {
    const { signal } = this.ended;
    for (;;) {
      const leftMs = this.nextTryAt - monotonicMs();
      if (leftMs <= 0 || signal.aborted) return;
      await sleep(leftMs, signal);
    }
  }

  private async tryOnce(): Promise<void> {
    const startedAt = monotonicMs();
    const { signal } = this.ended;
    this.openTries += 1;
    try {
      const connection = await this.options.open({
        signal,
        onHeard: () => this.noteHeard(startedAt),
      });
      this.openTries -= 1;
      this.win(connection);
    } catch (error) {
      this.openTries -= 1;
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
    if (error instanceof TimeoutError || this.openTries > 0) return;
    this.result.reject(error);
    this.ended.abort();
  }

  /** A peer that is only late gets no more handshakes to do while one of them is on its way. */
  private noteHeard(startedAt: number): void {
    const now = monotonicMs();
    this.nextTryAt = Math.max(this.nextTryAt, now + (now - startedAt) + this.paceMs);
  }

  private get paceMs(): number {
    return Math.max(
      CONNECTION_ATTEMPT_DELAY_MS,
      this.options.silenceLimitMs() * ATTEMPT_DELAY_PER_SILENCE_LIMIT,
    );
  }

  private pauseMs(): number {
    const silentMs = monotonicMs() - this.startedAt;
    const proportionateMs = Math.max(this.paceMs, silentMs * PAUSE_SHARE_OF_SILENCE);
    const boundMs = Math.min(LONGEST_PAUSE_MS, proportionateMs);
    return boundMs * (SHORTEST_PAUSE_SHARE + Math.random() * (1 - SHORTEST_PAUSE_SHARE));
  }
}
