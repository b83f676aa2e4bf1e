/** Health of gateways in watch requests and their answers. */

/** State of the sender, reported while its event loop is overloaded and once after it has recovered. */
export interface HealthReport {
  isOverloaded: boolean;
  /** Whether the gateway is not ready because it is overloaded. */
  hasLeft: boolean;
}

/** Answer of the directory's leader to a report. */
export interface ZoneHealth {
  /** Number of gateways of the zone that the leader knows. */
  gateways: number;
  /** Number of them that report being overloaded. */
  overloaded: number;
  /** Whether the receiver may become or stay not ready because it is overloaded. */
  mayLeave: boolean;
}

/**
 * Time for which a report counts at the leader, and for which a gateway may use a permission after it sent the report
 * that was answered with it. A permission therefore ends no later than the report expires at the leader.
 */
export const HEALTH_TTL_MS = 1_500;
