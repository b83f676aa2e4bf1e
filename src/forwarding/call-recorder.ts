/** Counts finished calls and writes their log lines. */
import { monotonicMs } from '../common/index.js';
import { type RequestKey, requestKeyOf } from '../crash-guard/index.js';
import type { LogFields, Logger } from '../observability/index.js';
import type { CompiledRoute, Tenant } from '../routes/index.js';
import type { GracefulShutdown } from '../shutdown/index.js';
import { type CallExchange, type RefusalReason, resumesStream } from './call-exchange.js';
import {
  describeProgram,
  describeReservation,
  describeSends,
  describeStream,
  describeWait,
  slowdownOf,
} from './call-log.js';
import type { CallOutcome, CallRun } from './call-run.js';
import type { ForwardingMetrics } from './forwarding-metrics.js';
import { StreamRelay } from './stream-relay.js';
import type { Reservation } from './turn-reservations.js';

/** A finished call. */
export interface FinishedCall {
  exchange: CallExchange;
  /** Undefined if none was found. */
  route: CompiledRoute | undefined;
  tenant?: Tenant;
  ending: CallOutcome;
  /** Details of a refusal. */
  details?: LogFields;
  /** Absent if the call was refused before it was sent. */
  run?: CallRun;
  reservation?: Reservation;
  /** How long the end of the response was delayed until the turn was kept, in milliseconds. */
  keepMs?: number;
  /** The part of it in which the events of an earlier attempt were read. */
  earlierMs?: number;
  /** Whether it was stopped because the process ends. @default no */
  isInterrupted?: boolean;
}

export interface CallRecorderOptions {
  logger: Logger;
  metrics: ForwardingMetrics;
  /** State of this gateway at the time of a failed call. */
  gatewayState: (route: CompiledRoute | undefined) => LogFields;
  shutdown: GracefulShutdown;
}

const SUSPECT_REASONS: ReadonlySet<RefusalReason> = new Set(['ends-backends', 'send-pending']);

export class CallRecorder {
  /** Calls that ended since the request to stop, by outcome. */
  private readonly endedInShutdown = new Map<string, number>();

  constructor(private readonly options: CallRecorderOptions) {}

  /** How calls ended since the request to stop, for the log: outcomes with their numbers. */
  get shutdownOutcomes(): string {
    return [...this.endedInShutdown].map(([outcome, count]) => `${outcome}:${count}`).join(' ');
  }

  record(call: FinishedCall): void {
    const { exchange, route, ending, run } = call;
    const { logger, metrics, gatewayState, shutdown } = this.options;
    const tookMs = monotonicMs() - exchange.arrivedAt;
    const firstEventMs = firstEventOf(exchange, run);
    const outcome = ending.kind === 'refused' ? ending.reason : ending.kind;
    if (shutdown.hasBegun) {
      this.endedInShutdown.set(outcome, (this.endedInShutdown.get(outcome) ?? 0) + 1);
      metrics.noteShutdownCall(outcome);
    }
    metrics.noteCall(route?.route.kind, outcome, tookMs, firstEventMs);
    this.noteResumptions(exchange, run, outcome);
    for (const { brokenReason } of run?.sends ?? [])
      if (brokenReason) metrics.noteBrokenSend(brokenReason);
    const fields = fieldsOf(call, {
      outcome,
      status: run?.response.status,
      ms: Math.round(tookMs),
      firstMs: rounded(firstEventMs),
      disconnectedBy: exchange.disconnectedBy,
      interrupted: call.isInterrupted || undefined,
      shutdownMs: rounded(shutdown.elapsedMs),
    });
    if (ending.kind === 'answered') logger.info('call', fields);
    else logger.warn('call', { ...fields, ...gatewayState(route) });
  }

  private noteResumptions(
    { description }: CallExchange,
    run: CallRun | undefined,
    outcome: string,
  ): void {
    const { metrics } = this.options;
    if (resumesStream(description)) metrics.noteResumption('caller', outcome);
    if (run?.wasResumed) metrics.noteResumption('gateway', outcome);
  }
}

function fieldsOf(call: FinishedCall, end: LogFields): LogFields {
  const { exchange, route, tenant, run, reservation, keepMs, earlierMs, details } = call;
  const { description } = exchange;
  return {
    call: description.id,
    route: route?.route.name,
    tenant: tenant?.name,
    ...end,
    ...describeReservation(exchange, reservation, keepMs),
    earlierMs: rounded(earlierMs),
    ...describeWait(run?.permit),
    most: description.mostTokens || undefined,
    previousTurn: description.previousTurn,
    sends: run && describeSends(run),
    request: suspectRequestKey(call),
    ...describeStream(description, run),
    slowdown: run && slowdownOf(run),
    ...describeProgram(description.program),
    ...details,
  };
}

/**
 * Joins the lines of a request's attempts. Only for calls with a broken send and those refused as suspect, because it costs
 * a digest of the body.
 */
function suspectRequestKey({
  exchange,
  tenant,
  run,
  ending,
}: FinishedCall): RequestKey | undefined {
  if (!run) return undefined;
  const isBroken = run.sends.some(({ brokenReason }) => brokenReason);
  const isSuspect = ending.kind === 'refused' && SUSPECT_REASONS.has(ending.reason);
  return isBroken || isSuspect ? requestKeyOf(exchange.description, tenant?.name) : undefined;
}

function firstEventOf(exchange: CallExchange, run: CallRun | undefined): number | undefined {
  if (!(run?.response instanceof StreamRelay)) return undefined;
  const { firstEventAt } = run.response;
  return firstEventAt === undefined ? undefined : firstEventAt - exchange.arrivedAt;
}

function rounded(ms: number | undefined): number | undefined {
  return ms && Math.round(ms);
}
