/** Time of each backend's last heartbeat, in the leader's memory. */
import { monotonicMs } from '../common/index.js';

export interface HeartbeatTableOptions {
  /** A backend is silent after this time without a heartbeat, in milliseconds. */
  silentAfterMs: number;
  /** A backend is removed after this time without a heartbeat, in milliseconds. */
  removeAfterMs: number;
}

export class HeartbeatTable {
  private readonly heardAt = new Map<string, number>();

  constructor(private readonly options: HeartbeatTableOptions) {}

  record(id: string): void {
    this.heardAt.set(id, monotonicMs());
  }

  /** Silent backends among `ids`; for one without a heartbeat yet, the time counts from the first check. */
  findSilent(ids: Iterable<string>): Set<string> {
    const now = monotonicMs();
    const { silentAfterMs } = this.options;
    return new Set([...ids].filter((id) => this.silenceMs(id, now) > silentAfterMs));
  }

  isLost(id: string): boolean {
    return this.silenceMs(id, monotonicMs()) > this.options.removeAfterMs;
  }

  /** Drops the entries of backends that are no longer registered. */
  retainOnly(ids: { has(id: string): boolean }): void {
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
