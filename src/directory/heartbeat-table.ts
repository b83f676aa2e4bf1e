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

  /** Back ends that a new leader has not heard yet count from its first look at them. */
  isSilent(id: string): boolean {
    return this.silenceMs(id) > this.options.silentAfterMs;
  }

  isLost(id: string): boolean {
    return this.silenceMs(id) > this.options.removeAfterMs;
  }

  /** Forgets back ends that are not registered any more. */
  keepOnly(ids: ReadonlySet<string>): void {
    for (const id of this.heardAt.keys()) if (!ids.has(id)) this.heardAt.delete(id);
  }

  clear(): void {
    this.heardAt.clear();
  }

  private silenceMs(id: string): number {
    const now = monotonicMs();
    const heardAt = this.heardAt.get(id);
    if (heardAt !== undefined) return now - heardAt;
    this.heardAt.set(id, now);
    return 0;
  }
}
