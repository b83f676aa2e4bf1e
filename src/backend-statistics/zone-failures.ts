/** Decides for which callers a backend fails: those of one zone, or all. */
import { type FailureCounts, emptyCounts, sumOfCounts } from './failure-counts.js';
import { FailureDetector, TOLERATED_FAILURE_RATIO } from './failure-detector.js';
import { ALL_ZONES } from './messages.js';

/** Number of zones that must agree for a backend to fail for all callers. */
const AGREEING_ZONES = 2;
/** In one zone, two failures within about a second suffice. A zone probes rarely: few calls end a failure. */
const ZONE_OPTIONS = { minimumFailures: 1.2, recoveredCalls: 1.5 };
/** In all zones together they must be closer, since some gateway has a failure for other reasons now and then. */
const OVERALL_OPTIONS = { minimumFailures: 1.7, recoveredCalls: 4 };
/** Number of gateways outside the zone with the most failures that must have seen one. */
const AGREEING_GATEWAYS = 2;
/** Failures outside the zone with the most from which they agree: a single recent one. */
const AGREEING_FAILURES = 0.7;
/** Failures outside that zone below which they no longer agree, so that one stray failure counts for a short time. */
const DISAGREEING_FAILURES = 0.4;

export type CountsByZone = ReadonlyMap<string, FailureCounts>;

export class ZoneFailures {
  private readonly zones = new Map<string, FailureDetector>();
  /** Decides on the counts of all zones, which are significant earlier than those of one zone. */
  private readonly overall = new FailureDetector(OVERALL_OPTIONS);
  private hasAgreement = false;

  /** @returns the zones whose callers' calls fail, or `ALL_ZONES` */
  update(byZone: CountsByZone, now: number): string[] {
    this.updateZones(byZone, now);
    this.updateOverall(byZone, now);
    const failing = [...this.zones].filter(([, detector]) => detector.isFailing);
    if (this.hasAgreement || failing.length >= AGREEING_ZONES) return [ALL_ZONES];
    return failing.map(([zone]) => zone);
  }

  private updateZones(byZone: CountsByZone, now: number): void {
    for (const zone of byZone.keys()) {
      if (!this.zones.has(zone)) this.zones.set(zone, new FailureDetector(ZONE_OPTIONS));
    }
    for (const [zone, detector] of this.zones)
      detector.update(byZone.get(zone) ?? emptyCounts(), now);
  }

  private updateOverall(byZone: CountsByZone, now: number): void {
    this.overall.update(sumOfCounts(byZone.values()), now);
    if (this.overall.isFailing) {
      this.hasAgreement = this.doOthersAgree(byZone);
      return;
    }
    // Calls of all zones end a failure of all sooner than those of each zone. A zone in which it lasts is found again.
    if (this.hasAgreement) for (const detector of this.zones.values()) detector.reset();
    this.hasAgreement = false;
  }

  /**
   * Whether calls fail as well without the zone that has the most failures. It takes two gateways there: one with a
   * broken link may report many failures.
   */
  private doOthersAgree(byZone: CountsByZone): boolean {
    const zones = [...this.zones].map(([zone, { recent }]) => ({ zone, ...recent }));
    const [, ...others] = zones.sort((left, right) => right.failures - left.failures);
    const calls = others.reduce((sum, zone) => sum + zone.calls, 0);
    const failures = others.reduce((sum, zone) => sum + zone.failures, 0);
    const failedGateways = others.reduce(
      (sum, { zone }) => sum + (byZone.get(zone)?.failedGateways ?? 0),
      0,
    );
    if (!this.hasAgreement && failedGateways < AGREEING_GATEWAYS) return false;
    if (this.hasAgreement) return failures >= DISAGREEING_FAILURES;
    return failures >= AGREEING_FAILURES && failures > calls * TOLERATED_FAILURE_RATIO;
  }
}
