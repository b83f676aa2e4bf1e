/** The leader's admission decision for one service, from the demand that all gateways report. */
import { admittedFractions } from './admitted-fractions.js';
import type { ServiceTotals } from './demand-totals.js';
import { DutyEstimate } from './duty-estimate.js';
import type { PriorityAdmission, ServiceAdmission } from './messages.js';
import { ReturningPrograms } from './returning-programs.js';
import {
  type ByPriority,
  DECISION_DELAY_MS,
  SessionForecast,
  type SessionState,
  admittedPerMs,
} from './session-forecast.js';
import { limitedTenants } from './tenant-division.js';

/**
 * Time for which a change of the fractions is anticipated, in milliseconds. It exceeds the age of reports plus the delay
 * of decisions, so that the fractions settle instead of alternating.
 */
const HORIZON_MS = 1_000;
/** Upper bound of the pressure and precision of its computation. */
const MAX_PRESSURE = 10;
const BISECTIONS = 24;

/** Determines the pressure that results from a rate of admitted programs. */
interface PressureModel {
  /** Pressure when the decision takes effect. */
  current: number;
  /** Increase of the pressure for each program in excess of those that end. */
  perProgram: number;
  recent: SessionState;
}

export class ServiceDecision {
  private readonly duty = new DutyEstimate();
  private readonly forecast = new SessionForecast();
  private readonly returning = new ReturningPrograms();

  /** @param capacity calls that the service's backends can process at once; greater than 0 */
  decide(service: string, totals: ServiceTotals, capacity: number, now: number): ServiceAdmission {
    const demands = [...totals.priorities].sort(([left], [right]) => left - right);
    const offeredPerMs = new Map(
      demands.map(([priority, { offeredPerSecond }]) => [priority, offeredPerSecond / 1_000]),
    );
    const model = this.modelOf(totals, offeredPerMs, capacity, now);
    const pressure = this.solve(model, offeredPerMs, now);
    const fractions = fractionsAt(pressure, offeredPerMs);
    this.forecast.noteDecision(this.withReturning(fractions, now), now);
    this.returning.note(fractions, now + DECISION_DELAY_MS);
    const priorities = demands.map(([priority, { byTenant }]): PriorityAdmission => {
      const fraction = fractions.get(priority)!;
      return { priority, fraction, limited: limitedTenants(byTenant, fraction) };
    });
    return { service, pressure, priorities };
  }

  private modelOf(
    { sessions, inFlight, measuredAt: at }: ServiceTotals,
    offeredPerMs: ByPriority,
    capacity: number,
    now: number,
  ): PressureModel {
    this.duty.learn(sessions, inFlight, capacity, now);
    const duty = this.duty.value;
    const expected = this.forecast.expect({ at, sessions }, offeredPerMs, now);
    const reported = Math.max(sessions * duty, inFlight);
    const growth = expected.sessions - sessions;
    const current = (reported + growth * duty) / capacity;
    return { current, perProgram: duty / capacity, recent: expected };
  }

  /** The pressure that results from the fractions that it implies; a higher one would admit fewer programs. */
  private solve(model: PressureModel, offered: ByPriority, now: number): number {
    let low = 0;
    let high = MAX_PRESSURE;
    for (let step = 0; step < BISECTIONS; step += 1) {
      const pressure = (low + high) / 2;
      const admitted = this.withReturning(fractionsAt(pressure, offered), now);
      if (resultingPressure(model, admittedPerMs(admitted, offered)) > pressure) low = pressure;
      else high = pressure;
    }
    return high;
  }

  /** Admitted programs, including those that return after a refusal, as multiples of the offered ones. */
  private withReturning(fractions: ByPriority, now: number): ByPriority {
    const at = now + DECISION_DELAY_MS;
    return new Map(
      [...fractions].map(([priority, fraction]) => [
        priority,
        fraction + this.returning.admitted(priority, fraction, at),
      ]),
    );
  }
}

/** The load falls at most by the sessions that end, however few programs are admitted. */
function resultingPressure({ current, perProgram, recent }: PressureModel, perMs: number): number {
  const changePerMs = Math.max(-recent.endedPerMs, perMs - recent.admittedPerMs);
  return current + changePerMs * HORIZON_MS * perProgram;
}

/** Fractions of the given priorities, the most urgent first. */
function fractionsAt(pressure: number, offered: ByPriority): ByPriority {
  const fractions = admittedFractions(pressure, offered.size);
  return new Map([...offered.keys()].map((priority, rank) => [priority, fractions[rank]!]));
}

export function isLimited({ priorities }: ServiceAdmission): boolean {
  return priorities.some(({ fraction }) => fraction < 1);
}
