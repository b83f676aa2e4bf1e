/** When each back end was last heard, as this leader knows it; kept in memory only. */
import { monotonicMs } from '../common/index.js';

export interface HeartbeatTableOptions {
  /** A back end is silent after this time without a heartbeat, in milliseconds. */
  silentAfterMs: number;
  /** A back end is taken out after this time without a heartbeat, in milliseconds. */
  removeAfterMs: number;
}

export class HeartbeatTable {
  private readonly heardAt = new Map<string, number>();

  constructor(private readonly options: HeartbeatTableOptions) {}

  note(id: string): void {
    this.heardAt.set(id, monotonicMs());
  }

  /** Those of some back ends that are silent; one that a new leader has not heard yet counts from its first look. */
  silentOf(ids: Iterable<string>): Set<string> {
    const now = monotonicMs();
    const { silentAfterMs } = this.options;
    return new Set([...ids].filter((id) => this.silenceMs(id, now) > silentAfterMs));
  }

  isLost(id: string): boolean {
    return this.silenceMs(id, monotonicMs()) > this.options.removeAfterMs;
  }

  /** Forgets back ends that are not registered any more. */
  keepOnly(ids: { has(id: string): boolean }): void {
    for (const id of this.heardAt.keys()) if (!ids.has(id)) this.heardAt.delete(id);
  }

  clear(): void {
    this.heardAt.clear();
  }

  private silenceMs(id: string, now: number): number {
    const heardAt = this.heardAt.get(id);
    if (heardAt !== undefined) return now - heardAt;
    this.heardAt.set(id, now);
    return 0;
  }
}
