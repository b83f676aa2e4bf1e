/**
 * What each gateway acts by, as its questions for news say; kept in the leader's memory only. An order
 * is acknowledged once all gateways in touch hold it: before, an acknowledgement meant only that the
 * group had committed, and nothing bounded the time until calls went by it.
 */
import { SignalEvent, monotonicMs } from '../common/index.js';
import type { KnownVersions } from './messages.js';

/**
 * A gateway that has not asked for so long is not waited for, in milliseconds: three of the times for
 * which a question is held, so that one that was killed delays an order by no more.
 */
export const GATEWAY_ACTIVE_WINDOW_MS = 600;

/** The parts of the directory that gateways act by. */
export type ConfirmedPart = 'configuration' | 'backendsIndex';

interface GatewayKnowledge {
  known: KnownVersions;
  askedAt: number;
}

export interface AwaitedChange {
  part: ConfirmedPart;
  /** Log index at which the change was made. */
  index: number;
  /** How long gateways are waited for at most, in milliseconds. */
  timeoutMs: number;
  /** Since when this process leads; before a while later not all gateways have asked (monotonic). */
  leadingSince: number;
}

export class GatewayConfirmations {
  private readonly gateways = new Map<string, GatewayKnowledge>();
  private readonly asked = new SignalEvent();
  private waiting = 0;

  /** A gateway asks for news, and says what it holds. */
  note(name: string, known: KnownVersions): void {
    this.gateways.set(name, { known, askedAt: monotonicMs() });
    if (this.waiting > 0) this.asked.notify();
  }

  /**
   * Waits until the gateways in touch hold a change.
   * @returns the names of those that did not in time
   */
  async wait(change: AwaitedChange): Promise<string[]> {
    this.waiting += 1;
    const lagging = await this.waitForAll(change);
    this.waiting -= 1;
    return lagging;
  }

  private async waitForAll(change: AwaitedChange): Promise<string[]> {
    const { part, index, timeoutMs, leadingSince } = change;
    const startedAt = monotonicMs();
    const allKnownAt = Math.min(leadingSince + GATEWAY_ACTIVE_WINDOW_MS, startedAt + timeoutMs);
    for (;;) {
      const now = monotonicMs();
      const lagging = this.lagging(part, index, now);
      const isSettled = lagging.length === 0 && now >= allKnownAt;
      const leftMs = startedAt + timeoutMs - now;
      if (isSettled || leftMs <= 0) return lagging;
      await this.asked.waitWithTimeout(this.nextLookMs(lagging, now, leftMs, allKnownAt));
    }
  }

  clear(): void {
    this.gateways.clear();
  }

  /** Gateways in touch that hold something older; those out of touch are forgotten. */
  private lagging(part: ConfirmedPart, index: number, now: number): string[] {
    const names: string[] = [];
    for (const [name, { known, askedAt }] of this.gateways) {
      if (now - askedAt > GATEWAY_ACTIVE_WINDOW_MS) this.gateways.delete(name);
      else if (known[part] < index) names.push(name);
    }
    return names;
  }

  /** Time until a lagging gateway counts as out of touch, or all are known. */
  private nextLookMs(
    lagging: readonly string[],
    now: number,
    leftMs: number,
    allKnownAt: number,
  ): number {
    const ends = lagging.map(
      (name) => this.gateways.get(name)!.askedAt + GATEWAY_ACTIVE_WINDOW_MS - now,
    );
    const unknownMs = allKnownAt > now ? [allKnownAt - now] : [];
    return Math.max(1, Math.min(leftMs, ...ends, ...unknownMs));
  }
}
