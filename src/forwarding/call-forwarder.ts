/** Handles calls from arrival to final response: routing, reservation, sending and settlement. */
import type { GatewayAdmission } from '../admission/index.js';
import { monotonicMs } from '../common/index.js';
import type { GatewayCrashGuard, RequestGuard } from '../crash-guard/index.js';
import type { Ledger, ReservedStream } from '../ledger/index.js';
import type { LogFields, Logger } from '../observability/index.js';
import { type GatewayQuotas, isLimited } from '../quotas/index.js';
import {
  type CompiledRoute,
  DEFAULT_RESPONSE_LIMITS,
  type ResponseLimits,
  type Route,
  type RouteTable,
  type Tenant,
} from '../routes/index.js';
import { GracefulShutdown } from '../shutdown/index.js';
import type { AccessDecision } from '../tenants/index.js';
import type { PermitGate, PermitRequest } from '../waiting/index.js';
import { type ActiveCall, ActiveCalls, InterruptedError } from './active-calls.js';
import type { BackendProtocol } from './backend-protocol.js';
import type { BackendView } from './backend-view.js';
import {
  type CallDescription,
  type CallExchange,
  type RefusalReason,
  isFirstTurn,
} from './call-exchange.js';
import { type CallOutcome, CallRun, type CallRunOptions } from './call-run.js';
import { readEarlierEvents } from './earlier-events.js';
import type { ForwardingMetrics } from './forwarding-metrics.js';
import type { Placement } from './placement.js';
import { CallRecorder } from './call-recorder.js';
import { CallTimeLimits } from './call-time-limits.js';
import { StallDetector } from './stall-detector.js';
import {
  type FindServiceVersions,
  ResumableStreams,
  type StreamCall,
} from './resumable-streams.js';
import type { StreamVersion } from './stream-version.js';
import { TurnAdmission, isModelCall } from './turn-admission.js';
import {
  RefusedError,
  type Reservation,
  TurnReservations,
  isTurnToKeep,
} from './turn-reservations.js';

export interface CallForwarderOptions {
  /** The current routes; undefined before the first configuration. */
  routes: () => RouteTable | undefined;
  /** Time since the directory's leader last responded, in milliseconds. */
  directoryAgeMs: () => number;
  access: (route: Route, key: string | undefined) => AccessDecision;
  quotas: Pick<GatewayQuotas, 'take' | 'describe'>;
  /** Admission shared by all gateways, if it is configured. @default each gateway decides alone */
  sharedAdmission?: Pick<GatewayAdmission, 'decide' | 'beginTurn' | 'noteSent'>;
  backends: BackendView;
  placement: Placement;
  ledger: Ledger;
  findServiceVersions: FindServiceVersions;
  protocol: BackendProtocol;
  logger: Logger;
  metrics: ForwardingMetrics;
  /** Lets calls wait for a permit. @default calls are sent at once */
  permits?: Pick<PermitGate, 'request'>;
  /** Limits the backends that end under one request. @default they are not counted */
  crashGuard?: Pick<GatewayCrashGuard, 'guard'>;
  /** @default the process never stops */
  shutdown?: GracefulShutdown;
}

/** Maximum age of the directory data by which an unknown route is rejected; with older data it may be new. */
const FRESH_ROUTES_MAX_AGE_MS = 1_500;
/** Minimum retry delay, in milliseconds. */
const MIN_RETRY_MS = 150;
/** Retry delay while this gateway starts up, in milliseconds; another gateway is probably ready. */
const NOT_READY_RETRY_MS = 300;
/** Jitter of retry delays, as a fraction of the delay. */
const RETRY_JITTER = 0.5;

/** An admitted call, whose tokens are not reserved yet. */
interface AdmittedCall {
  active: ActiveCall;
  exchange: CallExchange;
  route: CompiledRoute;
  service: string;
  tenant: Tenant | undefined;
  /** Deadline of the final response (monotonic, milliseconds). */
  deadlineMs: number;
  requestGuard: RequestGuard | undefined;
}

export class CallForwarder {
  private readonly turns: TurnReservations;
  private readonly streams: ResumableStreams;
  private readonly stallGuard: StallDetector;
  private readonly turnAdmission: TurnAdmission;
  private readonly recorder: CallRecorder;
  private readonly activeCalls = new ActiveCalls();
  private readonly timeLimits: CallTimeLimits;

  constructor(private readonly options: CallForwarderOptions) {
    const { ledger, logger, metrics, backends, placement, findServiceVersions } = options;
    const gatewayState = this.gatewayState.bind(this);
    const { shutdown = new GracefulShutdown() } = options;
    this.timeLimits = new CallTimeLimits(shutdown);
    this.recorder = new CallRecorder({ logger, metrics, gatewayState, shutdown });
    this.streams = new ResumableStreams({ backends, placement, ledger, findServiceVersions });
    this.turnAdmission = new TurnAdmission(options);
    this.stallGuard = new StallDetector({ logger });
    this.turns = new TurnReservations({ ledger, logger, metrics });
  }

  /** Resolves when the call has its final response. */
  async handle(exchange: CallExchange): Promise<void> {
    let route: CompiledRoute | undefined;
    const call = this.activeCalls.begin(exchange);
    try {
      await this.stallGuard.waitAfterStall();
      route = this.findRoute(exchange);
      if (exchange.isAbandoned)
        this.recorder.record({ exchange, route, ending: { kind: 'abandoned' } });
      else await Promise.race([this.forward(call, route), call.interrupted]);
    } catch (error) {
      if (error instanceof InterruptedError) this.endInterrupted(call, route, error);
      else if (error instanceof RefusedError) this.refuseAndRecord(exchange, route, error);
      else throw error;
    } finally {
      this.activeCalls.end(call);
    }
  }

  /** Refuses a call of which not all was received, because it can't be handled. */
  refuseIncomplete(exchange: CallExchange, reason: 'not-ready' | 'shutting-down'): void {
    this.refuseAndRecord(exchange, undefined, new RefusedError(reason));
  }

  /** Whether a call that arrived completely now could end before the process does. */
  canEndInTime(description: CallDescription): boolean {
    const route = this.options.routes()?.find(description.host, description.path)?.route;
    return this.timeLimits.allowArrival(description, route);
  }

  /** The process will end: refuses calls that wait to be sent, unless they can still end in time. */
  noteShutdown(): void {
    this.activeCalls.noteShutdown();
  }

  /** How calls ended since the request to stop, for the log: outcomes with their numbers. */
  get shutdownOutcomes(): string {
    return this.recorder.shutdownOutcomes;
  }

  /** Ends all calls because the process ends. Resolves once each has its final response. */
  interruptCalls(): Promise<void> {
    return this.activeCalls.interruptAll();
  }

  /** Stops the background tasks. */
  stop(): void {
    this.stallGuard.stop();
  }

  private findRoute(exchange: CallExchange): CompiledRoute {
    const table = this.options.routes();
    if (!table) throw new RefusedError('not-ready');
    const { host, path, id } = exchange.description;
    const route = table.find(host, path);
    if (!route) {
      const mayBeNew = this.options.directoryAgeMs() > FRESH_ROUTES_MAX_AGE_MS;
      throw new RefusedError(mayBeNew ? 'not-ready' : 'no-route');
    }
    if (id === undefined) throw new RefusedError('missing-id');
    return route;
  }

  private async forward(active: ActiveCall, route: CompiledRoute): Promise<void> {
    const { exchange } = active;
    const { description } = exchange;
    const deadlineMs = this.timeLimits.deadlineMs(exchange, route.route);
    this.timeLimits.requireTime(route.route, deadlineMs);
    const tenant = this.authorize(exchange, route);
    const requestGuard = this.options.crashGuard?.guard(description, tenant?.name);
    if (requestGuard?.isBlocked)
      throw new RefusedError('ends-backends', undefined, { request: requestGuard.key });
    const service = route.nextService();
    const priority = tenant?.priority ?? route.route.priority;
    const call = { service, priority, tenant: tenant?.name, call: description };
    this.turnAdmission.admit(call, route.route);
    if (tenant) await this.takeToken(exchange, tenant);
    const endTurn = isModelCall(description)
      ? this.options.sharedAdmission?.beginTurn(call)
      : undefined;
    try {
      await this.serve({ active, exchange, route, service, tenant, deadlineMs, requestGuard });
    } catch (error) {
      if (error instanceof RefusedError) this.noteUnusedToken(tenant, error.reason);
      throw error;
    } finally {
      endTurn?.();
    }
  }

  /** @throws RefusedError if the turn's tokens cannot be reserved */
  private async serve(call: AdmittedCall): Promise<void> {
    const { active, exchange, route, service, tenant, deadlineMs, requestGuard } = call;
    const { description } = exchange;
    const typicalMs = this.options.backends.typicalMs(service);
    const time = { deadlineMs, typicalMs };
    const streamCall = { description, route, service, tenant: tenant?.name, deadlineMs };
    const stream = this.streams.reservedStream(streamCall);
    const reservation = await this.turns.reserve(exchange, route.route, time, tenant?.name, stream);
    const streamVersion = await this.versionOfStream(streamCall, stream, reservation);
    if (active.isEnded) {
      if (reservation) this.turns.release(reservation);
      throw new RefusedError('shutting-down');
    }
    const body = bodyToSend(exchange, reservation?.history);
    const runOptions: CallRunOptions = {
      exchange,
      route,
      service,
      body,
      deadlineMs,
      backends: this.options.backends,
      placement: this.options.placement,
      promptHolder: reservation?.lastBackend,
      tenant: tenant?.name,
      denial: () => this.currentDenial(exchange, route),
      fitsShutdown: () => this.timeLimits.fitsShutdown(route.route, deadlineMs),
      protocol: this.options.protocol,
      responseLimits: this.responseLimits,
      streamVersion,
      requestPermit: () => this.requestPermit(call, body.length),
      requestGuard,
    };
    const run = new CallRun(runOptions);
    active.run = run;
    const ending = await run.run();
    const isTurn = isModelCall(description);
    if (isTurn && run.hasRun) this.options.sharedAdmission?.noteSent(description);
    if (!run.hasRun) this.noteUnusedToken(tenant, reasonOfEnding(ending));
    this.turnAdmission.noteEnd(exchange, deadlineMs, run, ending);
    const endedAt = monotonicMs();
    const earlierOutput = await this.readEarlierOutput(runOptions, run, ending);
    const earlierMs = earlierOutput && monotonicMs() - endedAt;
    const turn = { exchange, run, ending, route, deadlineMs, earlierOutput };
    const final = reservation ? await this.turns.settle({ ...turn, reservation }) : ending;
    const keepMs = monotonicMs() - endedAt;
    if (active.isEnded) return;
    this.finish(exchange, run, final);
    this.recorder.record({
      exchange,
      route,
      tenant,
      ending: final,
      run,
      reservation,
      keepMs,
      earlierMs,
      isInterrupted: run.isInterrupted,
    });
  }

  /**
   * The data of the events that the caller has from an earlier attempt, if the turn is to be kept.
   * @returns undefined if there are none, or if they could not be read
   */
  private async readEarlierOutput(
    options: CallRunOptions,
    run: CallRun,
    ending: CallOutcome,
  ): Promise<Buffer | undefined> {
    const { lastEventId } = options.exchange.description;
    if (lastEventId === undefined || !isTurnToKeep({ run, ending, route: options.route }))
      return undefined;
    const output = await readEarlierEvents(
      { ...options, firstBackend: run.lastBackend },
      lastEventId,
      run.response.heldBytes,
    );
    this.options.metrics.noteEarlierEvents(output ? 'read' : 'missing');
    return output;
  }

  /** @throws RefusedError, after the reservation is settled, if it is unknown at which version the stream may run */
  private async versionOfStream(
    call: StreamCall,
    stream: ReservedStream | undefined,
    reservation: Reservation | undefined,
  ): Promise<StreamVersion> {
    try {
      return await this.streams.streamVersion(call, stream, reservation);
    } catch (error) {
      if (reservation) this.turns.release(reservation);
      throw error;
    }
  }

  private requestPermit(call: AdmittedCall, bytes: number): PermitRequest | undefined {
    const { exchange, route, service, tenant, deadlineMs } = call;
    const { description } = exchange;
    const isTurn = isModelCall(description);
    return this.options.permits?.request({
      service,
      priority: tenant?.priority ?? route.route.priority,
      tenant: tenant?.name,
      hasBegun: isTurn ? !isFirstTurn(description) : description.program !== undefined,
      deadlineMs,
      programRemainingMs: description.program?.remainingMs,
      bytes,
      held: exchange.heldRequest,
      callId: description.id,
    });
  }

  /** @throws RefusedError if the caller is not authorized, or authorization cannot be determined */
  private authorize({ description }: CallExchange, { route }: CompiledRoute): Tenant | undefined {
    const decision = this.options.access(route, description.apiKey);
    if (decision.kind === 'allowed') return decision.tenant;
    throw new RefusedError(reasonOf(decision));
  }

  /** @throws RefusedError if the tenant exceeds its limit, or that cannot be determined */
  private async takeToken({ description }: CallExchange, { name }: Tenant): Promise<void> {
    const { quotas } = this.options;
    const isTurn = isModelCall(description);
    const decision = await quotas.take(name, isTurn && isFirstTurn(description));
    if (decision.isAllowed) return;
    const reason = decision.reason === 'over-limit' ? 'over-limit' : 'not-ready';
    const details = { tenant: name, ...quotas.describe(name) };
    throw new RefusedError(reason, decision.retryAfterMs, details);
  }

  /** A call that took a token of its tenant's limit will not run. */
  private noteUnusedToken(tenant: Tenant | undefined, reason: string): void {
    if (tenant && isLimited(tenant)) this.options.metrics.noteUnusedToken(reason);
  }

  private currentDenial(
    { description }: CallExchange,
    { route }: CompiledRoute,
  ): RefusalReason | undefined {
    const decision = this.options.access(route, description.apiKey);
    return decision.kind === 'allowed' ? undefined : reasonOf(decision);
  }

  private endInterrupted(
    { exchange, run }: ActiveCall,
    route: CompiledRoute | undefined,
    { outcome }: InterruptedError,
  ): void {
    if (outcome.kind === 'refused') this.refuse(exchange, outcome.reason);
    else exchange.abort('shutdown');
    this.recorder.record({ exchange, route, ending: outcome, run, isInterrupted: true });
  }

  private refuseAndRecord(
    exchange: CallExchange,
    route: CompiledRoute | undefined,
    { reason, retryAfterMs, details }: RefusedError,
  ): void {
    this.refuse(exchange, reason, retryAfterMs);
    this.recorder.record({ exchange, route, ending: { kind: 'refused', reason }, details });
  }

  /** Sends the final response to the caller. */
  private finish(exchange: CallExchange, run: CallRun, final: CallOutcome): void {
    switch (final.kind) {
      case 'answered':
        run.response.end();
        break;
      case 'refused':
        this.refuse(exchange, final.reason, final.retryAfterMs);
        break;
      case 'broken-off':
        exchange.abort(run.isInterrupted ? 'shutdown' : 'gateway');
        break;
      case 'abandoned':
        break;
    }
  }

  private get responseLimits(): ResponseLimits {
    return this.options.routes()?.configuration.responseLimits ?? DEFAULT_RESPONSE_LIMITS;
  }

  /** @param expectedMs estimated time until a retry can succeed, if known */
  private refuse(exchange: CallExchange, reason: RefusalReason, expectedMs = 0): void {
    if (exchange.isAbandoned) return;
    const minimumMs = reason === 'not-ready' ? NOT_READY_RETRY_MS : MIN_RETRY_MS;
    const jitter = 1 + RETRY_JITTER * Math.random();
    exchange.refuse({ reason, retryAfterMs: Math.max(minimumMs, expectedMs) * jitter });
  }

  /** State of this gateway at the time of a failed call, for the log. */
  private gatewayState(route: CompiledRoute | undefined): LogFields {
    return {
      directoryAgeMs: Math.round(this.options.directoryAgeMs()),
      generation: this.options.routes()?.configuration.generation,
      settlementsWaiting: this.options.ledger.queuedSettlements,
      admissionLimits: route && this.turnAdmission.limitsOf(route),
    };
  }
}

function reasonOfEnding(ending: CallOutcome): string {
  return ending.kind === 'refused' ? ending.reason : ending.kind;
}

function reasonOf({ kind }: Exclude<AccessDecision, { kind: 'allowed' }>): RefusalReason {
  return kind === 'unknown-key' ? 'unknown-key' : 'not-ready';
}

/** The body behind the history of its program; both are held until the call has ended. */
function bodyToSend(
  { description: { body }, heldRequest }: CallExchange,
  history: Uint8Array | undefined,
): Buffer {
  if (!history || history.length === 0) return body;
  const whole = Buffer.concat([history, body]);
  heldRequest?.resize(body.length + whole.length);
  return whole;
}
