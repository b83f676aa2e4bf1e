/**
 * Adapts timeouts to the latency that a member observes. Raft elects a leader only if a round trip is much shorter than
 * an election timeout (Ongaro and Ousterhout 2014, section 5.6); on busy processors it takes longer than the configured
 * one, and candidates overtake each other without end. Without such latency the configured timeouts apply.
 */

/** Minimum timeout, in round trips: a pre-vote and a vote with its sync, and time for others to hear of them. */
const ROUND_TRIPS = 4;
/** Minimum timeout, as a multiple of the time between two messages of the leader. */
const SILENCES = 2;
/** Maximum adapted timeout, in milliseconds, unless the configured one is longer. */
const MAX_TIMEOUT_MS = 1_500;
/** Weight of the newest latency if it is shorter than the one assumed; a longer one is assumed at once. */
const SHORTER_WEIGHT = 0.05;
/** Number of lost elections after which the random part of a delay no longer grows. */
const MAX_DOUBLINGS = 3;

export class ElectionPacing {
  /** Shortest timeout that the observed latency allows, in milliseconds. */
  private minimumMs = 0;
  /** Elections since the last leader that a quorum answered and that were not won. */
  private lostElections = 0;

  /** @param random in [0, 1) */
  constructor(private readonly random: () => number = Math.random) {}

  /** Records the time until a response. */
  noteRoundTrip(milliseconds: number): void {
    this.observe(milliseconds * ROUND_TRIPS);
  }

  /** Records the time between two messages of the leader. */
  noteSilence(milliseconds: number): void {
    this.observe(milliseconds * SILENCES);
  }

  /** Records an election that other candidates or voters prevented. */
  noteLostElection(): void {
    this.lostElections += 1;
  }

  noteLeader(): void {
    this.lostElections = 0;
  }

  /** The configured timeout, or a longer one if the observed latency requires it. */
  timeoutMs(configuredMs: number): number {
    return Math.max(configuredMs, Math.min(MAX_TIMEOUT_MS, this.minimumMs));
  }

  /**
   * Random delay of an election: at least a timeout, at most two before the first lost election. Each lost one doubles
   * the random part, until candidates are far enough from each other.
   * @param postponedBy timeouts to wait in addition
   */
  electionDelayMs(configuredMs: number, postponedBy = 0): number {
    const spread = 2 ** Math.min(MAX_DOUBLINGS, this.lostElections);
    return this.timeoutMs(configuredMs) * (1 + postponedBy + this.random() * spread);
  }

  private observe(requiredMs: number): void {
    const weight = requiredMs > this.minimumMs ? 1 : SHORTER_WEIGHT;
    this.minimumMs += (requiredMs - this.minimumMs) * weight;
  }
}
