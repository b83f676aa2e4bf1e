/** Runs model and service calls; duplicates of a request share one execution. */
import { describeError, sleep } from '../common/index.js';
import { GroupUnavailableError } from '../consensus/index.js';
import type { CallRecord } from '../journal/index.js';
import type { Logger } from '../observability/index.js';
import type { CallContext, CallSpecification } from './call-context.js';
import { CallExecution } from './call-execution.js';
import type { CallResult } from './call-result.js';
import { ModelCall } from './model-call.js';
import { ServiceCallRun } from './service-call-run.js';
import { JOURNAL_RETRY_AFTER_MS, resultOfSettled } from './settlement.js';

const INTERRUPTED: CallResult = { kind: 'interrupted' };
/** Time in which the journal records that waiting calls are refused, in milliseconds. */
const REFUSAL_MS = 450;
/** Time in which responses are written once their calls have ended, in milliseconds. */
const RESPONSE_MS = 50;

export class CallRunner {
  private readonly executions = new Map<string, CallExecution>();

  constructor(
    private readonly context: CallContext,
    private readonly logger: Logger,
  ) {}

  get activeCalls(): number {
    return this.executions.size;
  }

  /** Starts a call, or returns the execution of a duplicate in progress. */
  start(specification: CallSpecification): CallExecution {
    const { tenant, programId, sequence, submission, requestHash } = specification;
    const key = `${tenant}|${programId}|${sequence}|${submission}|${requestHash}`;
    const known = this.executions.get(key);
    if (known) return known;
    const execution = new CallExecution();
    this.executions.set(key, execution);
    void this.run(specification, execution).then((result) => {
      this.executions.delete(key);
      if (execution.currentResult) return;
      const { metrics } = this.context;
      metrics.calls.inc({ kind: specification.request.kind, result: result.kind });
      this.noteShutdown(result);
      execution.finish(result);
    });
    return execution;
  }

  /**
   * Ends the calls under way because the gateway is about to end: calls that wait for a backend are refused, others are left
   * to the gateway to which their callers turn. The journal must be closed before the connections to backends, so that
   * this gateway does not settle the latter.
   */
  async interrupt(): Promise<void> {
    const { engineAdmission, serviceAdmission } = this.context;
    const isWaiting = engineAdmission.waitingCalls + serviceAdmission.waitingCalls > 0;
    engineAdmission.close();
    serviceAdmission.close();
    if (isWaiting) await sleep(REFUSAL_MS);
    for (const execution of this.executions.values()) {
      this.noteShutdown(INTERRUPTED);
      execution.finish(INTERRUPTED);
    }
    await sleep(RESPONSE_MS);
  }

  private noteShutdown(result: CallResult): void {
    const { shutdownCalls } = this.context.metrics;
    if (result.kind === 'interrupted') shutdownCalls.inc({ outcome: 'unknown' });
    const isRefused = result.kind === 'not-run' && result.reason === 'shutting-down';
    if (isRefused) shutdownCalls.inc({ outcome: 'not_run' });
  }

  private async run(
    specification: CallSpecification,
    execution: CallExecution,
  ): Promise<CallResult> {
    try {
      const run =
        specification.request.kind === 'model'
          ? new ModelCall(this.context, specification, execution)
          : new ServiceCallRun(this.context, specification);
      const known = specification.isResend ? await this.findRecord(specification) : undefined;
      if (known?.settled) return resultOfSettled(known);
      return known ? await run.follow(known) : await run.begin();
    } catch (error) {
      if (error instanceof GroupUnavailableError) {
        return { kind: 'journal-unavailable', retryAfterMs: JOURNAL_RETRY_AFTER_MS };
      }
      this.logger.error('call failed', { description: describeError(error) });
      return { kind: 'journal-unavailable', retryAfterMs: JOURNAL_RETRY_AFTER_MS };
    }
  }

  /** Returns the journal record of the call if it was recorded for the same request. */
  private async findRecord(specification: CallSpecification): Promise<CallRecord | undefined> {
    const { programId, tenant, sequence, requestHash } = specification;
    const answer = await this.context.journal.readCall(programId, tenant, sequence);
    if (answer.status !== 'running' && answer.status !== 'settled') return undefined;
    return answer.call.requestHash === requestHash ? answer.call : undefined;
  }
}
