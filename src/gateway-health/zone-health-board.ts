/**
 * Health of the gateways by zone, in the memory of the directory's leader. It permits overloaded gateways to become not
 * ready, up to a third of their zone, so that the load of a zone is not passed on to ever fewer gateways.
 */
import { monotonicMs } from '../common/index.js';
import { HEALTH_TTL_MS, type HealthReport, type ZoneHealth } from './messages.js';

/** Maximum share of a zone's gateways that may be not ready because they are overloaded. */
const MAX_LEFT_SHARE = 1 / 3;
/** Minimum time between checks for expired entries, in milliseconds. */
const EXPIRY_INTERVAL_MS = 500;

interface GatewayEntry {
  zone: string;
  /** Time of the latest request, with or without a report. */
  seenAt: number;
  reportedAt: number;
  isOverloaded: boolean;
  mayLeave: boolean;
}

export class ZoneHealthBoard {
  private readonly entries = new Map<string, GatewayEntry>();
  private startedAt = Number.NEGATIVE_INFINITY;
  private expiredAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly now: () => number = monotonicMs) {}

  /** Records a request of a gateway; without a report its earlier report stays valid. */
  report(gateway: string, zone: string, health?: HealthReport): void {
    const now = this.now();
    this.expire(now);
    const entry = this.entries.get(gateway) ?? newEntry(zone);
    this.entries.set(gateway, entry);
    entry.zone = zone;
    entry.seenAt = now;
    if (!health) return;
    entry.reportedAt = now;
    entry.isOverloaded = health.isOverloaded;
    // Later, only the permissions that this leader gave count: others have expired.
    const mayHaveLeft = health.hasLeft && !this.isComplete(now);
    entry.mayLeave = health.isOverloaded && (entry.mayLeave || mayHaveLeft);
  }

  /** Answer to a gateway that has just reported. */
  viewFor(gateway: string): ZoneHealth {
    const now = this.now();
    const own = this.entries.get(gateway) ?? newEntry('');
    const zone = [...this.entries.values()].filter(
      (entry) => entry.zone === own.zone && now - entry.seenAt <= HEALTH_TTL_MS,
    );
    const overloaded = zone.filter((entry) => isOverloadedAt(entry, now));
    const othersLeft = overloaded.filter((entry) => entry !== own && entry.mayLeave).length;
    if (this.isComplete(now)) {
      own.mayLeave = own.isOverloaded && othersLeft < Math.floor(zone.length * MAX_LEFT_SHARE);
    }
    return { gateways: zone.length, overloaded: overloaded.length, mayLeave: own.mayLeave };
  }

  /** Discards all reports, for a change of leadership. */
  clear(): void {
    this.entries.clear();
    this.startedAt = this.now();
  }

  /**
   * Whether gateways that another leader permitted to leave have reported or have lost their permission. Until then
   * only gateways that report having left keep their permission.
   */
  private isComplete(now: number): boolean {
    return now - this.startedAt >= HEALTH_TTL_MS;
  }

  private expire(now: number): void {
    if (now - this.expiredAt < EXPIRY_INTERVAL_MS) return;
    this.expiredAt = now;
    for (const [gateway, { seenAt }] of this.entries) {
      if (now - seenAt > HEALTH_TTL_MS) this.entries.delete(gateway);
    }
  }
}

function newEntry(zone: string): GatewayEntry {
  const never = Number.NEGATIVE_INFINITY;
  return { zone, seenAt: never, reportedAt: never, isOverloaded: false, mayLeave: false };
}

function isOverloadedAt({ isOverloaded, reportedAt }: GatewayEntry, now: number): boolean {
  return isOverloaded && now - reportedAt <= HEALTH_TTL_MS;
}
