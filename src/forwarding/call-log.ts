/** Formats the log line of a finished call. */
import type { ReservationTrace, ReservationTimings } from '../ledger/index.js';
import type { LogFields } from '../observability/index.js';
import type { PermitRequest } from '../waiting/index.js';
import {
  type CallDescription,
  type CallExchange,
  type ProgramContext,
  resumesStream,
} from './call-exchange.js';
import type { CallRun } from './call-run.js';
import type { SendRecord } from './send-measurement.js';
import { StreamRelay } from './stream-relay.js';
import { versionLabelOf } from './stream-version.js';
import type { Reservation } from './turn-reservations.js';

export function describeProgram(program: ProgramContext | undefined): LogFields {
  if (!program) return {};
  const { id, session, budgetTokens: budget, remainingMs } = program;
  return { program: id, session, budget, remainingMs };
}

export function describeReservation(
  { description }: CallExchange,
  reservation: Reservation | undefined,
  keepMs: number | undefined,
): LogFields {
  if (!reservation) return {};
  const { tookMs, trace, lastBackend, allowanceTaken } = reservation;
  return {
    reserveMs: Math.round(tookMs),
    ...describeTrace(trace),
    allowance: allowanceTaken,
    keepMs: keepMs && Math.round(keepMs),
    inputBytes: description.body.length,
    holder: lastBackend,
  };
}

/** Time in the queue, and calls ahead on arrival; nothing if the call did not wait. */
export function describeWait(permit: PermitRequest | undefined): LogFields {
  if (permit?.waitedMs === undefined) return {};
  return { waitedMs: Math.round(permit.waitedMs), waitedBehind: permit.waitedBehind };
}

/** Steps of a reservation; `leaderAgeMs` is the age of the leader information before the first request. */
export function describeTrace(trace: ReservationTrace): LogFields {
  const { times, requestCount, knownLeader, leader, historyFrom, failedStep: failed } = trace;
  return {
    reserveParts: describeTimes(times),
    ledgerAsked: requestCount,
    leader: leader ?? knownLeader?.address,
    leaderAgeMs: knownLeader && Math.round(knownLeader.ageMs),
    historyFrom,
    failedStep: failed,
  };
}

/** Milliseconds queued in this gateway, waiting for the leader, and reading the history from another member. */
function describeTimes({ windowMs, leaderMs, historyMs }: ReservationTimings): string {
  return [windowMs, leaderMs, historyMs].map(Math.round).join('+');
}

/** Shared slowdown factor of the last backend, if it is not 1. */
export function slowdownOf(run: CallRun): number | undefined {
  const slowdown = run.sends.at(-1)?.slowdown;
  return slowdown && Number(slowdown.toFixed(2));
}

/** The stream of a call: its events, the software versions it was sent to, and what the caller resumes. */
export function describeStream(call: CallDescription, run: CallRun | undefined): LogFields {
  const resumption = describeResumption(call, run);
  if (!(run?.response instanceof StreamRelay)) return resumption;
  return { events: run.response.events, versions: describeVersions(run), ...resumption };
}

/** Software versions of the backends that the call was sent to, in order, without repetitions in succession. */
function describeVersions({ sends }: CallRun): string | undefined {
  const versions = sends.map(({ softwareVersion }) => versionLabelOf(softwareVersion));
  return (
    versions.filter((version, index) => version !== versions[index - 1]).join(' ') || undefined
  );
}

/** What the caller resumes, and the version that began the stream, if it is known; nothing if it begins a stream. */
function describeResumption(call: CallDescription, run: CallRun | undefined): LogFields {
  if (!resumesStream(call)) return {};
  const { lastEventId, resumedAttempt } = call;
  return { lastEventId, resumedAttempt, streamVersion: run?.streamVersion };
}

/** Each attempt as `backend@ownLoad+otherLoad-uncachedTokens/headMs/totalMs(expectedMs):result`. */
export function describeSends(run: CallRun): string {
  return run.sends.map(describeSend).join(' ');
}

function describeSend(send: SendRecord): string {
  const { backend, ownLoad, otherLoad, missingTokens, headMs, tookMs, expectedMs } = send;
  const place = `${backend}@${ownLoad}+${Math.round(otherLoad)}-${missingTokens}t`;
  const head = headMs === undefined ? '' : `/${Math.round(headMs)}ms`;
  const expected = expectedMs === undefined ? '' : `(${Math.round(expectedMs)})`;
  return `${place}${head}/${Math.round(tookMs)}${expected}ms:${send.cause ?? send.result}`;
}
