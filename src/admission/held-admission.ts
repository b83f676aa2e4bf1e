/** The leader's latest admission decision as a gateway holds it, with its aging while no leader decides. */
import { hash32 } from '../common/index.js';
import { rangeStart } from './admitted-fractions.js';
import type { PriorityAdmission, ServiceAdmission } from './messages.js';
import { RETRY_MS } from './returning-programs.js';

/** Time without a decision of a leader after which the last one begins to age. */
const CURRENT_MS = 1_500;
/** Time over which the fractions of an aging decision rise to 1. */
const AGING_MS = 4_000;
/** Weight of the newest change in the smoothed trend of the pressure. */
const TREND_WEIGHT = 0.5;
const HASH_RANGE = 2 ** 32;

/** Programs that share one admitted fraction. */
export interface ProgramClass {
  service: string;
  /** 0 is the most urgent. */
  priority: number;
  tenant?: string;
}

/** Fractions of one priority, compiled for look-ups by tenant. */
interface HeldPriority {
  priority: number;
  fraction: number;
  limited: ReadonlyMap<string, number>;
}

interface HeldService {
  pressure: number;
  /** Smoothed change of the pressure per millisecond. */
  trend: number;
  receivedAt: number;
  /** The most urgent first. */
  priorities: HeldPriority[];
}

export class HeldAdmission {
  private services = new Map<string, HeldService>();
  private receivedAt = Number.NEGATIVE_INFINITY;
  private hasDecision = false;

  /** Replaces the decision; services that are not listed are admitted entirely. */
  apply(admissions: readonly ServiceAdmission[], now: number): void {
    const before = this.services;
    this.hasDecision = true;
    this.receivedAt = now;
    this.services = new Map(
      admissions.map((admission) => {
        const { service } = admission;
        return [service, nextState(before.get(service), admission, now)];
      }),
    );
  }

  /** Records that a leader answered that has no reports yet; the last decision stays in use and ages. */
  noteUndecided(): void {
    this.hasDecision = false;
  }

  /** Whether the current leader has decided recently. */
  isCurrent(now: number): boolean {
    return this.hasDecision && this.ageMs(now) < CURRENT_MS;
  }

  /** Time since the decision arrived, in milliseconds. */
  ageMs(now: number): number {
    return now - this.receivedAt;
  }

  /** Whether a program may begin; the same at all gateways that hold the same decision. */
  admits(programClass: ProgramClass, program: string, now: number): boolean {
    return hash32(program) / HASH_RANGE < this.fractionFor(programClass, now);
  }

  /** Admitted fraction of the programs of a priority and tenant. */
  fractionFor({ service, priority, tenant }: ProgramClass, now: number): number {
    const held = this.services.get(service);
    const entry = held && held.priorities[rankOf(held.priorities, priority)];
    if (!entry) return 1;
    return aged(decidedFraction(entry, tenant), this.ageMs(now));
  }

  /** Pressure of a limited service; undefined if it is not limited. */
  pressureOf(service: string): number | undefined {
    return this.services.get(service)?.pressure;
  }

  /** Limited services and their priorities with the fractions in force. */
  fractions(now: number): { service: string; priority: number; fraction: number }[] {
    return [...this.services].flatMap(([service, { priorities }]) =>
      priorities.map(({ priority, fraction }) => {
        return { service, priority, fraction: aged(fraction, this.ageMs(now)) };
      }),
    );
  }

  /**
   * Estimated time until the pressure is below the range of a priority, in milliseconds.
   * @param typicalMs mean latency of a turn, the minimum
   */
  retryAfterMs({ service, priority }: ProgramClass, typicalMs: number): number {
    const held = this.services.get(service);
    if (!held) return typicalMs;
    const { priorities, pressure, trend } = held;
    const excess = pressure - rangeStart(rankOf(priorities, priority), priorities.length);
    const waitMs = trend < 0 ? excess / -trend : RETRY_MS;
    return Math.max(typicalMs, Math.min(RETRY_MS, waitMs));
  }
}

function nextState(
  before: HeldService | undefined,
  { pressure, priorities }: ServiceAdmission,
  receivedAt: number,
): HeldService {
  const trend = before ? nextTrend(before, pressure, receivedAt) : 0;
  return { pressure, trend, receivedAt, priorities: priorities.map(compile) };
}

function nextTrend(before: HeldService, pressure: number, receivedAt: number): number {
  const elapsedMs = receivedAt - before.receivedAt;
  if (elapsedMs <= 0) return before.trend;
  const latest = (pressure - before.pressure) / elapsedMs;
  return before.trend + (latest - before.trend) * TREND_WEIGHT;
}

function compile({ priority, fraction, limited }: PriorityAdmission): HeldPriority {
  const byTenant = limited.map((entry): [string, number] => [entry.tenant, entry.fraction]);
  return { priority, fraction, limited: new Map(byTenant) };
}

/** Position of a priority; one that the leader has not seen yet is treated like the next more urgent one. */
function rankOf(priorities: readonly HeldPriority[], priority: number): number {
  return Math.max(
    0,
    priorities.findLastIndex((entry) => entry.priority <= priority),
  );
}

/** If no tenant is limited, the leader knows of none, and the fraction applies to all programs. */
function decidedFraction({ fraction, limited }: HeldPriority, tenant: string | undefined): number {
  if (tenant === undefined || limited.size === 0) return fraction;
  return limited.get(tenant) ?? 1;
}

function aged(fraction: number, ageMs: number): number {
  const progress = Math.min(1, Math.max(0, (ageMs - CURRENT_MS) / AGING_MS));
  return fraction + (1 - fraction) * progress;
}
