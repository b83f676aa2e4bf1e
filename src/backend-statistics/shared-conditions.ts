/** Conditions of the backends as the directory's leader last reported them, at one gateway. */
import { remainingAfter } from '../common/index.js';
import { ALL_ZONES, type BackendCondition, SLOWDOWN_HALF_LIFE_MS } from './messages.js';

/** Age up to which the figures of the leader are used unchanged, in milliseconds: two long polls and a margin. */
const FRESH_MS = 500;
/** Time after which a failure is no longer assumed without news of the leader, in milliseconds. */
const FAILURE_TTL_MS = 2_000;

export class SharedConditions {
  private conditions = new Map<string, BackendCondition>();
  private appliedAt = Number.NEGATIVE_INFINITY;

  /** @param clock monotonic clock, in milliseconds */
  constructor(
    private readonly zone: string,
    private readonly clock: () => number,
  ) {}

  /** Replaces all conditions. */
  apply(conditions: readonly BackendCondition[]): void {
    this.conditions = new Map(conditions.map((condition) => [condition.id, condition]));
    this.appliedAt = this.clock();
  }

  /** Time since the leader's last report, in milliseconds. */
  get ageMs(): number {
    return this.clock() - this.appliedAt;
  }

  /** Latency relative to normal; decays to 1 while no leader reports. */
  slowdownOf(id: string): number {
    const factor = this.conditions.get(id)?.slowdown;
    if (factor === undefined) return 1;
    const staleMs = this.ageMs - FRESH_MS;
    return staleMs <= 0 ? factor : factor ** remainingAfter(staleMs, SLOWDOWN_HALF_LIFE_MS);
  }

  /** Whether calls of this gateway's zone fail at a backend. */
  isFailing(id: string): boolean {
    const zones = this.conditions.get(id)?.failingZones;
    if (!zones || this.ageMs > FAILURE_TTL_MS) return false;
    return zones.includes(ALL_ZONES) || zones.includes(this.zone);
  }

  /** Backends that fail for this gateway's zone. */
  get failingCount(): number {
    return [...this.conditions.keys()].filter((id) => this.isFailing(id)).length;
  }

  clear(): void {
    this.conditions.clear();
  }
}
