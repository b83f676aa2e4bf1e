/**
 * Tracks, in the leader's memory, which versions each gateway reports in its watch requests. A change is
 * acknowledged once all active gateways have applied it, not merely when the group has committed it.
 */
import { SignalEvent, monotonicMs } from '../common/index.js';
import type { KnownVersions } from './messages.js';

/**
 * Acknowledgements do not wait for a gateway that has sent no watch request for this time: three long polls, so
 * that a gateway that was killed delays them by no more.
 */
export const GATEWAY_ACTIVE_WINDOW_MS = 600;

interface GatewayState {
  known: KnownVersions;
  requestedAt: number;
}

export interface AwaitedChange {
  /** Whether a gateway with these versions has applied the change. */
  isApplied: (known: KnownVersions) => boolean;
  /** Maximum time to wait for gateways, in milliseconds. */
  timeoutMs: number;
  /** Start of this process's leadership (monotonic); a new leader has not heard from all gateways yet. */
  leadingSince: number;
}

export class GatewayConfirmations {
  private readonly gateways = new Map<string, GatewayState>();
  private readonly requestReceived = new SignalEvent();
  private waiting = 0;

  /** Records the versions that a gateway reports in a watch request. */
  record(name: string, known: KnownVersions): void {
    this.gateways.set(name, { known, requestedAt: monotonicMs() });
    if (this.waiting > 0) this.requestReceived.notify();
  }

  /**
   * Waits until the active gateways have applied a change.
   * @returns the names of those that have not in time
   */
  async wait(change: AwaitedChange): Promise<string[]> {
    this.waiting += 1;
    const lagging = await this.waitForAll(change);
    this.waiting -= 1;
    return lagging;
  }

  private async waitForAll(change: AwaitedChange): Promise<string[]> {
    const { isApplied, timeoutMs, leadingSince } = change;
    const startedAt = monotonicMs();
    const allKnownAt = Math.min(leadingSince + GATEWAY_ACTIVE_WINDOW_MS, startedAt + timeoutMs);
    for (;;) {
      const now = monotonicMs();
      const lagging = this.lagging(isApplied, now);
      const isSettled = lagging.length === 0 && now >= allKnownAt;
      const remainingMs = startedAt + timeoutMs - now;
      if (isSettled || remainingMs <= 0) return lagging;
      await this.requestReceived.waitWithTimeout(
        this.nextCheckMs(lagging, now, remainingMs, allKnownAt),
      );
    }
  }

  clear(): void {
    this.gateways.clear();
  }

  /** Active gateways that hold an older version; inactive ones are dropped. */
  private lagging(isApplied: AwaitedChange['isApplied'], now: number): string[] {
    const names: string[] = [];
    for (const [name, { known, requestedAt }] of this.gateways) {
      if (now - requestedAt > GATEWAY_ACTIVE_WINDOW_MS) this.gateways.delete(name);
      else if (!isApplied(known)) names.push(name);
    }
    return names;
  }

  /** Time until a lagging gateway becomes inactive, or all gateways are known. */
  private nextCheckMs(
    lagging: readonly string[],
    now: number,
    remainingMs: number,
    allKnownAt: number,
  ): number {
    const expiries = lagging.map(
      (name) => this.gateways.get(name)!.requestedAt + GATEWAY_ACTIVE_WINDOW_MS - now,
    );
    const allKnownMs = allKnownAt > now ? [allKnownAt - now] : [];
    return Math.max(1, Math.min(remainingMs, ...expiries, ...allKnownMs));
  }
}
