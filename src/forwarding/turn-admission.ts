/** Decides whether a model call may begin, by the limits of this gateway and of all gateways, and learns from its end. */
import type { GatewayAdmission, ModelCall } from '../admission/index.js';
import { monotonicMs } from '../common/index.js';
import type { Ledger } from '../ledger/index.js';
import type { CompiledRoute, Route } from '../routes/index.js';
import type { BackendView } from './backend-view.js';
import type { CallDescription, CallExchange } from './call-exchange.js';
import type { CallOutcome, CallRun } from './call-run.js';
import { ProgramAdmission, ledgerLoadOf } from './program-admission.js';
import { RefusedError, ledgerProgramOf, needsLedger } from './turn-reservations.js';

export interface TurnAdmissionOptions {
  backends: BackendView;
  ledger: Ledger;
  /** Admission shared by all gateways, if it is configured. @default each gateway decides alone */
  sharedAdmission?: Pick<GatewayAdmission, 'decide'>;
}

/**
 * A caller that leaves before this fraction of its time has passed left early. Callers leave a little before the
 * deadline that is known here, since their clock starts when they send.
 */
const LEFT_EARLY_FRACTION = 0.9;

export class TurnAdmission {
  private readonly admission = new ProgramAdmission();

  constructor(private readonly options: TurnAdmissionOptions) {}

  /** @throws RefusedError if the call starts a new program and its service is overloaded */
  admit(call: ModelCall, route: Route): void {
    if (!isModelCall(call.call)) return;
    const { service, priority } = call;
    const engines = this.options.backends.serving(service);
    const typicalMs = this.options.backends.typicalMs(service);
    const delayMs = needsLedger(call.call, route) ? this.ledgerDelayMs(call) : 0;
    const ledgerLoad = ledgerLoadOf(delayMs, typicalMs);
    const isWithinOwnLimit = this.admission.admits(
      service,
      priority,
      call.call,
      engines,
      ledgerLoad,
    );
    const shared = this.options.sharedAdmission?.decide(call, typicalMs);
    if (shared?.isAdmitted === false)
      throw new RefusedError('not-admitted', shared.retryAfterMs, shared.details);
    if (shared?.isFinal || isWithinOwnLimit) return;
    const drainMs = this.admission.drainMs(service, engines, typicalMs, ledgerLoad);
    throw new RefusedError('not-admitted', drainMs, { ledgerDelayMs: Math.round(delayMs) });
  }

  private ledgerDelayMs({ call, tenant }: ModelCall): number {
    return this.options.ledger.delayMsOf(ledgerProgramOf(call, tenant));
  }

  /** @param deadlineMs of the call (monotonic, milliseconds) */
  noteEnd(exchange: CallExchange, deadlineMs: number, run: CallRun, ending: CallOutcome): void {
    const { description: call, arrivedAt } = exchange;
    if (!isModelCall(call) || run.unloadedMs === undefined) return;
    const { serviceName: service, unloadedMs } = run;
    const tookMs = monotonicMs() - arrivedAt;
    const hadTime = tookMs < (deadlineMs - arrivedAt) * LEFT_EARLY_FRACTION;
    const leftEarly = ending.kind === 'abandoned' && hadTime;
    const ranOutOfTime = isTimeLimit(ending) || (ending.kind === 'abandoned' && !leftEarly);
    const interference = run.wasPaused ? 'read-slowly' : leftEarly ? 'left-early' : undefined;
    const turn = { service, call, ranOutOfTime, interference, tookMs, unloadedMs } as const;
    const engines = this.options.backends.serving(service);
    this.admission.noteEnd(turn, engines, this.options.backends.gateways);
  }

  /** Admission limits of the route's services, as fractions of their capacity, for the log. */
  limitsOf({ route }: CompiledRoute): string {
    return route.parts.map(({ service }) => this.admission.limitOf(service).toFixed(2)).join(',');
  }
}

export function isModelCall({ promptParts }: CallDescription): boolean {
  return promptParts.length > 0;
}

function isTimeLimit(ending: CallOutcome): boolean {
  if (ending.kind !== 'refused') return false;
  return ending.reason === 'time-limit' || ending.reason === 'time-limit-before-start';
}
