/**
 * Predicts the active sessions of a service at the time when a decision made now takes effect.
 *
 * Reports are 0 to 0.4 s old, and a decision reaches the gateways up to 0.2 s later. Programs admitted meanwhile stay for
 * seconds. A decision based on the reported sessions alone would go on admitting after the service is full and go on
 * refusing after it has room, alternately.
 */

/** Mean time until gateways apply a decision: half of a long poll, in milliseconds. */
export const DECISION_DELAY_MS = 100;
/** Period over which the rate of ended sessions is measured, in milliseconds; about the lifetime of a program. */
const WINDOW_MS = 1_000;
/** Minimum period from which the rate of ended sessions is computed, in milliseconds. */
const MIN_PERIOD_MS = 200;

/** A count of active sessions at a time. */
export interface Sample {
  at: number;
  sessions: number;
}

/** Values by priority. */
export type ByPriority = ReadonlyMap<number, number>;

/** A decision that took effect at a time. */
interface PastDecision {
  at: number;
  /** Admitted programs as a multiple of the offered ones. */
  admitted: ByPriority;
}

export interface SessionState {
  /** Expected sessions when a decision made now takes effect. */
  sessions: number;
  /** Sessions that ended and programs that were admitted per millisecond in the recent past. */
  endedPerMs: number;
  admittedPerMs: number;
}

export class SessionForecast {
  private samples: Sample[] = [];
  private decisions: PastDecision[] = [];

  /** @param admitted programs admitted by the decision made now, as multiples of the offered ones */
  noteDecision(admitted: ByPriority, now: number): void {
    this.decisions.push({ at: now + DECISION_DELAY_MS, admitted });
  }

  /**
   * Past decisions are weighted with the present offered rates: reported rates follow a burst late, and a change of the
   * rate must not be taken for the effect of a decision.
   * @param offeredPerMs offered programs per millisecond
   */
  expect(sample: Sample, offeredPerMs: ByPriority, now: number): SessionState {
    this.addSample(sample);
    const until = now + DECISION_DELAY_MS;
    const { endedPerMs, admittedPerMs } = this.recent(offeredPerMs);
    const admitted = this.admitted(sample.at, until, offeredPerMs);
    const growth = admitted - endedPerMs * (until - sample.at);
    return {
      sessions: Math.max(0, sample.sessions + growth),
      endedPerMs: Math.max(0, endedPerMs),
      admittedPerMs,
    };
  }

  private addSample(sample: Sample): void {
    const last = this.samples.at(-1);
    if (last && sample.at <= last.at) this.samples.pop();
    this.samples.push(sample);
    const from = sample.at - WINDOW_MS;
    this.samples = this.samples.filter(({ at }) => at >= from);
    // The last decision before the window is still in effect when it begins.
    const first = this.decisions.findLastIndex(({ at }) => at <= from);
    if (first > 0) this.decisions.splice(0, first);
  }

  private recent(offeredPerMs: ByPriority): { endedPerMs: number; admittedPerMs: number } {
    const first = this.samples[0]!;
    const last = this.samples.at(-1)!;
    const periodMs = last.at - first.at;
    if (periodMs < MIN_PERIOD_MS) return { endedPerMs: 0, admittedPerMs: sumOf(offeredPerMs) };
    const admitted = this.admitted(first.at, last.at, offeredPerMs);
    const ended = admitted - (last.sessions - first.sessions);
    return { endedPerMs: ended / periodMs, admittedPerMs: admitted / periodMs };
  }

  /** The first known decision stands for the time before it, which a new leader does not know. */
  private admitted(from: number, until: number, offeredPerMs: ByPriority): number {
    let total = 0;
    for (const [index, { at, admitted }] of this.decisions.entries()) {
      const begin = index === 0 ? from : Math.max(from, at);
      const end = Math.min(until, this.decisions[index + 1]?.at ?? Infinity);
      total += Math.max(0, end - begin) * admittedPerMs(admitted, offeredPerMs);
    }
    return total;
  }
}

/** Programs admitted per millisecond; a priority that a decision did not know was admitted entirely. */
export function admittedPerMs(admitted: ByPriority, offeredPerMs: ByPriority): number {
  let total = 0;
  for (const [priority, perMs] of offeredPerMs) total += perMs * (admitted.get(priority) ?? 1);
  return total;
}

function sumOf(offeredPerMs: ByPriority): number {
  return [...offeredPerMs.values()].reduce((sum, perMs) => sum + perMs, 0);
}
