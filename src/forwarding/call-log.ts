/** How a call that is over is worded in its log line. */
import type { ReservationTrace, ReservationTimings } from '../ledger/index.js';
import type { LogFields } from '../observability/index.js';
import type { CallExchange, ProgramContext } from './call-exchange.js';
import type { CallRun, SendRecord } from './call-run.js';
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
  const { tookMs, steps, lastBackend } = reservation;
  return {
    reserveMs: Math.round(tookMs),
    ...describeSteps(steps),
    keepMs: keepMs && Math.round(keepMs),
    inputBytes: description.body.length,
    holder: lastBackend,
  };
}

/** What a reservation went through; the leader's age is that of what this gateway knew before it asked. */
export function describeSteps(steps: ReservationTrace): LogFields {
  const { times, requestCount, knownLeader, leader, historyFrom, failedStep: failed } = steps;
  return {
    reserveParts: describeTimes(times),
    ledgerAsked: requestCount,
    leader: leader ?? knownLeader?.address,
    leaderAgeMs: knownLeader && Math.round(knownLeader.ageMs),
    historyFrom,
    failedStep: failed,
  };
}

/** In milliseconds: waited in this gateway, asked the leader, read the history elsewhere. */
function describeTimes({ windowMs, leaderMs, historyMs }: ReservationTimings): string {
  return [windowMs, leaderMs, historyMs].map(Math.round).join('+');
}

/** Each send as `backend@own load+others'-expected tokens to read/head/whole(expected):result`. */
export function describeSends(run: CallRun): string {
  return run.sends.map(describeSend).join(' ');
}

function describeSend(send: SendRecord): string {
  const { backend, ownLoad, otherLoad, missingTokens, headMs, tookMs, expectedMs } = send;
  const place = `${backend}@${ownLoad}+${otherLoad}-${missingTokens}t`;
  const head = headMs === undefined ? '' : `/${Math.round(headMs)}ms`;
  const expected = expectedMs === undefined ? '' : `(${Math.round(expectedMs)})`;
  return `${place}${head}/${Math.round(tookMs)}${expected}ms:${send.cause ?? send.result}`;
}
