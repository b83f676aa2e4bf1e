/** Gateway side of shared admission: decides on first turns and reports the demand. */
import type { Registry } from 'prom-client';
import { monotonicMs } from '../common/index.js';
import { type CallDescription, isFirstTurn } from '../forwarding/call-exchange.js';
import type { LogFields, Logger } from '../observability/index.js';
import { AdmissionMetrics } from './admission-metrics.js';
import { DemandTracker } from './demand-tracker.js';
import { HeldAdmission, type ProgramClass } from './held-admission.js';
import type { DemandReport, ServiceAdmission } from './messages.js';
import { ProgramMemory } from './program-memory.js';

/** Minimum time between two reports, in milliseconds. */
const REPORT_INTERVAL_MS = 400;

export interface GatewayAdmissionOptions {
  /** Whether the configuration in force uses shared admission. */
  isEnabled: () => boolean;
  registry: Registry;
  logger: Logger;
  /** Monotonic, in milliseconds. @default monotonicMs */
  clock?: () => number;
}

/** A model call. */
export interface ModelCall extends ProgramClass {
  call: CallDescription;
}

export type AdmissionDecision =
  /** `isFinal`: the gateway's own limit does not apply. */
  | { isAdmitted: true; isFinal: boolean }
  | { isAdmitted: false; retryAfterMs: number; details: LogFields };

/** Leaves the decision to the gateway's own limit. */
const UNDECIDED: AdmissionDecision = { isAdmitted: true, isFinal: false };
const ADMITTED: AdmissionDecision = { isAdmitted: true, isFinal: true };

export class GatewayAdmission {
  private readonly held = new HeldAdmission();
  private readonly tracker = new DemandTracker();
  private readonly programs = new ProgramMemory();
  private readonly clock: () => number;
  private metrics: AdmissionMetrics | undefined;
  private reportedAt = Number.NEGATIVE_INFINITY;
  private wasReportEmpty = true;
  private wasCurrent = false;

  constructor(private readonly options: GatewayAdmissionOptions) {
    this.clock = options.clock ?? monotonicMs;
  }

  /**
   * Decides whether a model call may pass. Only first turns of programs that have not begun are ever refused.
   * @param typicalMs mean latency of a turn
   */
  decide({ call, ...programClass }: ModelCall, typicalMs: number): AdmissionDecision {
    const { program } = call;
    if (!this.options.isEnabled() || !program) return UNDECIDED;
    if (!isFirstTurn(call) || this.programs.hasBegun(program.id)) return ADMITTED;
    const { service, priority, tenant } = programClass;
    const now = this.clock();
    if (this.programs.noteOffered(program.id, now)) {
      this.tracker.noteOffered(service, priority, tenant, now);
    }
    const isCurrent = this.updateCurrent(now);
    const isAdmitted = this.held.admits(programClass, program.id, now);
    this.metricsOf().noteDecision(service, isAdmitted, isCurrent);
    if (isAdmitted) return isCurrent ? ADMITTED : UNDECIDED;
    const details = this.describe(programClass, now);
    return {
      isAdmitted: false,
      retryAfterMs: this.held.retryAfterMs(programClass, typicalMs),
      details,
    };
  }

  /**
   * Records that a model call passed.
   * @returns must be called when the call has ended
   */
  beginTurn({ service, priority, call: { program } }: ModelCall): () => void {
    if (!this.options.isEnabled()) return () => undefined;
    const session = program && `${program.id} ${program.session ?? ''}`;
    const turn = { service, priority, session };
    this.tracker.beginTurn(turn);
    return () => this.tracker.endTurn(turn, this.clock());
  }

  /**
   * Records that a turn has been sent, so that its program has begun. A turn that passed but got no permit does not
   * count: its repetition would pass admission.
   */
  noteSent({ program }: CallDescription): void {
    if (program && this.options.isEnabled()) this.programs.noteBegun(program.id, this.clock());
  }

  /** The report for the next watch request: null if none is due, undefined without shared admission. */
  demand(): DemandReport | null | undefined {
    if (!this.options.isEnabled()) return undefined;
    const now = this.clock();
    if (now - this.reportedAt < REPORT_INTERVAL_MS) return null;
    const report = this.tracker.report(now);
    const isEmpty = report.length === 0;
    // An empty report would delay the first one of a burst.
    if (isEmpty && this.wasReportEmpty) return null;
    this.reportedAt = now;
    this.wasReportEmpty = isEmpty;
    return report;
  }

  /** Applies a leader's answer. @param admissions undefined if the leader has not decided yet */
  apply(admissions: readonly ServiceAdmission[] | undefined): void {
    if (!this.options.isEnabled()) return;
    const now = this.clock();
    if (admissions) this.held.apply(admissions, now);
    else this.held.noteUndecided();
    this.updateCurrent(now);
  }

  /** Admitted fraction of programs without a tenant. */
  fractionFor(service: string, priority: number): number {
    return this.held.fractionFor({ service, priority }, this.clock());
  }

  private updateCurrent(now: number): boolean {
    const isCurrent = this.held.isCurrent(now);
    if (isCurrent === this.wasCurrent) return isCurrent;
    this.wasCurrent = isCurrent;
    if (isCurrent) this.options.logger.info('shared admission in force', {});
    else this.options.logger.warn('shared admission not in force', {});
    return isCurrent;
  }

  private describe(programClass: ProgramClass, now: number): LogFields {
    const fraction = this.held.fractionFor(programClass, now);
    const pressure = this.held.pressureOf(programClass.service);
    return { admission: fraction.toFixed(2), pressure: pressure?.toFixed(2) };
  }

  private metricsOf(): AdmissionMetrics {
    this.metrics ??= new AdmissionMetrics(this.options.registry, this.held, this.clock);
    return this.metrics;
  }
}
