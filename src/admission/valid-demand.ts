/** Validates demand reports: a malformed one must not fail the decisions for the other gateways. */
import type { DemandReport, OfferedRate, PriorityDemand, ServiceDemand } from './messages.js';

/**
 * Maximum number of priorities in a report. Each priority that any gateway reports is a rank of its own, and a
 * configuration has a handful of them.
 */
const MAX_PRIORITIES = 16;

/** @returns the entries that match the wire format, at most one for each service; priorities without demand are dropped */
export function validDemand(report: unknown): DemandReport {
  if (!Array.isArray(report)) return [];
  const valid = new Map<string, ServiceDemand>();
  let remaining = MAX_PRIORITIES;
  for (const entry of report as unknown[]) {
    if (!isObject(entry) || !Array.isArray(entry.priorities)) continue;
    const { service, inFlight } = entry;
    if (typeof service !== 'string' || valid.has(service)) continue;
    const priorities = entry.priorities.flatMap(validPriority).slice(0, remaining);
    remaining -= priorities.length;
    valid.set(service, { service, inFlight: countOf(inFlight), priorities });
  }
  return [...valid.values()];
}

function validPriority(entry: unknown): PriorityDemand[] {
  if (!isObject(entry) || !Array.isArray(entry.offered)) return [];
  const { priority } = entry;
  if (typeof priority !== 'number' || !Number.isInteger(priority) || priority < 0) return [];
  const sessions = countOf(entry.sessions);
  const offered = entry.offered.filter(isOfferedRate);
  return sessions === 0 && offered.length === 0 ? [] : [{ priority, sessions, offered }];
}

function isOfferedRate(entry: unknown): entry is OfferedRate {
  return Array.isArray(entry) && typeof entry[0] === 'string' && countOf(entry[1]) > 0;
}

/** Values that are no counts are taken as 0. */
export function countOf(value: unknown): number {
  return typeof value === 'number' && Number.isFinite(value) && value > 0 ? value : 0;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}
