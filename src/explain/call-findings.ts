/** States in sentences how scheduling affected a call: waiting, refusals, backends, its gateway, and memory. */
import { type Finding, createFinding } from './finding.js';
import type { LogRecord } from './log-record.js';
import {
  CALL,
  MEMORY_EXHAUSTED,
  backendsSentTo,
  byTime,
  matchesId,
  numberOf,
  queuedCallOf,
  startOf,
} from './record-fields.js';
import { type StateEvents, findPeriod } from './state-periods.js';
import { findResumption } from './stream-findings.js';

const PROCESS_START = 'process.start';
const GATEWAY_CUT_OFF = 'gateway cut off';
const GATEWAY_NOT_CUT_OFF = 'gateway not cut off any more';
const GATEWAY_LEFT_ZONE = 'gateway left its zone';
const GATEWAY_BACK_IN_ZONE = 'gateway back in its zone';
const BACKEND_FAILING = 'back end failing';
const BACKEND_NOT_FAILING = 'back end no longer failing';
const STOPPED_LEADING = 'stopped leading';
const REQUEST_BLOCKED = 'request blocked';
/** Events that begin or end a state in the findings. */
const STATE_EVENTS: ReadonlySet<string> = new Set([
  PROCESS_START,
  GATEWAY_CUT_OFF,
  GATEWAY_NOT_CUT_OFF,
  GATEWAY_LEFT_ZONE,
  GATEWAY_BACK_IN_ZONE,
  BACKEND_FAILING,
  BACKEND_NOT_FAILING,
  STOPPED_LEADING,
]);
/** Name of the replicated group whose leader decides which backends fail. */
const DIRECTORY_GROUP = 'directory';
const ALL_ZONES = '*';

const CUT_OFF: StateEvents = {
  begins: ({ event }) => event === GATEWAY_CUT_OFF,
  ends: ({ event }) => event === GATEWAY_NOT_CUT_OFF || event === PROCESS_START,
};

const LEFT_ZONE: StateEvents = {
  begins: ({ event }) => event === GATEWAY_LEFT_ZONE,
  ends: ({ event }) => event === GATEWAY_BACK_IN_ZONE || event === PROCESS_START,
};

/**
 * @param direct the lines that name the call or program
 * @param records of all processes
 */
export function findingsOf(direct: readonly LogRecord[], records: readonly LogRecord[]): Finding[] {
  const calls = direct.filter(({ event }) => event === CALL);
  // Each call searches these lines; all records would be too many for a program with many calls.
  const changes = records.filter(({ event }) => STATE_EVENTS.has(event));
  const findings = calls.flatMap((call) => [
    ...findResumption(call, calls),
    ...findWait(call),
    ...findAdmission(call),
    ...findEndedBackends(call, records),
    ...findStop(call),
    ...findSlowdown(call),
    ...findFailingBackends(call, changes),
    ...findGatewayStates(call, changes),
  ]);
  const ended = records.filter(
    (record) =>
      record.event === MEMORY_EXHAUSTED &&
      (direct.includes(record) || calls.some((call) => isSameCall(record, call))),
  );
  return [...findings, ...ended.sort(byTime).map(describeEnd)];
}

function findWait(line: LogRecord): Finding[] {
  const queued = queuedCallOf(line);
  if (!queued) return findRefusalWithoutWait(line);
  const { waitedMs, waitedBehind, isRefused } = queued;
  const behind = `behind ${waitedBehind} ${waitedBehind === 1 ? 'call' : 'calls'}`;
  if (!isRefused) {
    const text = `waited ${waitedMs} ms ${behind}, because the back ends of its service had no room for it`;
    return [createFinding(line, 'waited', text)];
  }
  const when = waitedMs === 0 ? 'on arrival' : `after it had waited ${waitedMs} ms`;
  const text = `refused ${when}, ${behind}: it would not have been in time`;
  return [createFinding(line, 'refused-by-waiting', text)];
}

function findRefusalWithoutWait(line: LogRecord): Finding[] {
  if (line.fields.outcome !== 'overloaded') return [];
  const text =
    'refused without a wait: the queue of its gateway was full, or no back end had room for it';
  return [createFinding(line, 'refused-without-waiting', text)];
}

function findAdmission(line: LogRecord): Finding[] {
  const { outcome, admission, pressure, admissionLimits, ledgerDelayMs } = line.fields;
  if (outcome !== 'not-admitted') return [];
  if (admission === undefined) {
    const limits = admissionLimits === undefined ? '' : ` (${String(admissionLimits)})`;
    const delay = ledgerDelayMs ? `; the ledger was delayed by ${String(ledgerDelayMs)} ms` : '';
    const text = `refused by its gateway's own limit${limits}, which applies without a shared decision${delay}`;
    return [createFinding(line, 'refused-by-admission', text)];
  }
  const at = pressure === undefined ? '' : ` at a pressure of ${String(pressure)}`;
  const text = `refused by shared admission: a fraction of ${String(admission)} of such programs was admitted${at}`;
  return [createFinding(line, 'refused-by-admission', text)];
}

/** What the leader had counted for the request of a call, with lines of all its attempts. */
function findEndedBackends(line: LogRecord, records: readonly LogRecord[]): Finding[] {
  const { outcome, request } = line.fields;
  if (outcome === 'send-pending') {
    const text =
      'refused because a back end may have ended under it, while another send of it was in progress or no leader counted';
    return [createFinding(line, 'refused-as-suspect', text)];
  }
  if (outcome !== 'ends-backends') return [];
  const blocking = records.filter(
    ({ event, fields }) => event === REQUEST_BLOCKED && fields.request === request,
  );
  const { backends, ends } = blocking.sort(byTime).at(-1)?.fields ?? {};
  const under = backends === undefined ? '' : ` (${String(ends)}: ${String(backends)})`;
  const text = `refused for good: back ends had ended under its request ${String(request)}${under}`;
  return [createFinding(line, 'ends-backends', text)];
}

function findStop(line: LogRecord): Finding[] {
  const { outcome, interrupted, shutdownMs } = line.fields;
  const since = `${numberOf(shutdownMs)} ms after it was told to stop`;
  if (outcome === 'shutting-down') {
    const text = `refused by ${line.node}, ${since}: it could not have ended before the process`;
    return [createFinding(line, 'ended-by-stop', text)];
  }
  if (!interrupted) return [];
  const text = `stopped by ${line.node}, ${since}, because the process ended`;
  return [createFinding(line, 'ended-by-stop', text)];
}

function findSlowdown(line: LogRecord): Finding[] {
  const slowdown = numberOf(line.fields.slowdown);
  const backend = backendsSentTo(line).at(-1);
  if (backend === undefined || slowdown <= 1) return [];
  const text = `${backend} was known to be slow: ${slowdown} times the median latency of its service`;
  return [createFinding(line, 'slow-backend', text)];
}

/** Verdicts that a leader of the directory had given before the end of the call. */
function findFailingBackends(line: LogRecord, changes: readonly LogRecord[]): Finding[] {
  const controls = changes.filter(({ process }) => process === 'control');
  const byNode = [...new Set(controls.map(({ node }) => node))].map((node) =>
    controls.filter((record) => record.node === node),
  );
  return [...new Set(backendsSentTo(line))].flatMap((backend) => {
    const verdicts = byNode.flatMap((ofNode) => findOverlapping(line, ofNode, failureOf(backend)));
    const verdict = verdicts.sort(byTime).at(-1);
    if (!verdict) return [];
    const zones = String(verdict.fields.zones);
    const callers = zones === ALL_ZONES ? 'all callers' : `callers of ${zones}`;
    const text = `${backend} was known to be failing for ${callers} since ${verdict.time}`;
    return [createFinding(line, 'failing-backend', text)];
  });
}

/** A new leader begins without verdicts and logs no end of those before it. */
function failureOf(backend: string): StateEvents {
  return {
    begins: ({ event, fields }) => event === BACKEND_FAILING && fields.id === backend,
    ends: ({ event, fields }) =>
      (event === BACKEND_NOT_FAILING && fields.id === backend) ||
      (event === STOPPED_LEADING && fields.group === DIRECTORY_GROUP) ||
      event === PROCESS_START,
  };
}

function findGatewayStates(line: LogRecord, changes: readonly LogRecord[]): Finding[] {
  const ofGateway = changes.filter(({ node }) => node === line.node);
  const cutOff = findOverlapping(line, ofGateway, CUT_OFF).map(({ time }) => {
    const text = `its gateway ${line.node} was cut off from both leaders at ${time}`;
    return createFinding(line, 'gateway-cut-off', text);
  });
  const left = findOverlapping(line, ofGateway, LEFT_ZONE).map(({ time }) => {
    const text = `its gateway ${line.node} was overloaded and left its zone at ${time}`;
    return createFinding(line, 'gateway-left-zone', text);
  });
  return [...cutOff, ...left];
}

function findOverlapping(
  line: LogRecord,
  records: readonly LogRecord[],
  events: StateEvents,
): LogRecord[] {
  const beginning = findPeriod(records, events, startOf(line), Date.parse(line.time));
  return beginning ? [beginning] : [];
}

function isSameCall(ended: LogRecord, { node, fields }: LogRecord): boolean {
  const { call } = ended.fields;
  if (ended.node !== node || typeof call !== 'string' || typeof fields.call !== 'string')
    return false;
  return matchesId(call, fields.call) || matchesId(fields.call, call);
}

function describeEnd(line: LogRecord): Finding {
  const { kind, bytes, heldBytes, limitBytes, holders } = line.fields;
  const budget = `${numberOf(heldBytes)} of ${numberOf(limitBytes)} bytes held by ${numberOf(holders)}`;
  const text =
    `ended because the memory of ${line.node} for its callers was exhausted (${budget}): ` +
    `its ${String(kind)} was the largest, with ${numberOf(bytes)} bytes`;
  return createFinding(line, 'ended-for-memory', text);
}
