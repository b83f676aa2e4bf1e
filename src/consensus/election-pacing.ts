/**
 * Adapts timeouts to the latency that a member observes. Raft elects a leader only if a round trip is much shorter than
 * an election timeout (Ongaro and Ousterhout 2014, section 5.6); on busy processors it takes longer than the configured
 * one, and candidates overtake each other without end. Without such latency the configured timeouts apply.
 */

/** Minimum timeout, in round trips: a pre-vote and a vote with its sync, and time for others to hear of them. */
const ROUND_TRIPS = 4;
/** Minimum timeout, as a multiple of the time between two messages of the leader. */
const SILENCES = 1.5;
/** Maximum adapted timeout, in milliseconds, unless the configured one is longer. */
const MAX_TIMEOUT_MS = 1_500;
/** Weight of the newest latency if it is shorter than the one assumed; a longer one is assumed at once. */
const SHORTER_WEIGHT = 0.05;
/** Number of lost elections after which the random part of a delay no longer grows. */
const MAX_DOUBLINGS = 3;

export class ElectionPacing {
  /** Longest recent latencies, in milliseconds. */
  private roundTripMs = 0;
  private silenceMs = 0;
  /** Elections since the last leader that a quorum answered and that were not won. */
  private lostElections = 0;

  /** @param random in [0, 1) */
  constructor(private readonly random: () => number = Math.random) {}

  /** Records the time until a response. */
  noteRoundTrip(milliseconds: number): void {
    this.roundTripMs = longestRecent(this.roundTripMs, milliseconds);
  }

  /** Records the time between two messages of the leader. */
  noteSilence(milliseconds: number): void {
    this.silenceMs = longestRecent(this.silenceMs, milliseconds);
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
    const requiredMs = Math.max(this.electionMs, this.silenceMs * SILENCES);
    return Math.max(configuredMs, Math.min(MAX_TIMEOUT_MS, requiredMs));
  }

  /**
   * Random delay of an election: one to two timeouts, and with each lost election a longer random time, measured by
   * how long elections take, until candidates are far enough from each other.
   * @param postponedBy timeouts to wait in addition
   */
  electionDelayMs(configuredMs: number, postponedBy = 0): number {
    const doublings = Math.min(MAX_DOUBLINGS, this.lostElections);
    const spreadMs = (2 ** doublings - 1) * Math.min(MAX_TIMEOUT_MS, this.electionMs);
    const timeoutMs = this.timeoutMs(configuredMs);
    return timeoutMs * (1 + postponedBy) + this.random() * (timeoutMs + spreadMs);
  }

  private get electionMs(): number {
    return this.roundTripMs * ROUND_TRIPS;
  }
}

function longestRecent(before: number, milliseconds: number): number {
  const weight = milliseconds > before ? 1 : SHORTER_WEIGHT;
  return before + (milliseconds - before) * weight;
}
