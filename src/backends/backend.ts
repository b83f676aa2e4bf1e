/** What a gateway knows of one back end. */
import { monotonicMs } from '../common/index.js';
import type { BackendIntent } from '../intents/index.js';
import { CircuitBreaker, ConcurrencyLimit } from '../limits/index.js';
import type { LoadReport } from './load-report.js';

interface DispatchedWork {
  atMs: number;
  prefillTokens: number;
}

const EMPTY_LOAD: LoadReport = {
  waiting: 0,
  running: 0,
  pendingPrefillTokens: 0,
  usedBlocks: 0,
  capacityBlocks: 0,
};

/** Unanswered questions in a row after which a back end gets no new work until it answers. */
const SILENCES_UNTIL_AVOIDED = 2;
/** How late a report is assumed to be: own dispatches younger than this are not in it. */
const ASSUMED_REPORT_LAG_MS = 350;

export class Backend {
  readonly breaker = new CircuitBreaker();
  readonly limit: ConcurrencyLimit;
  private report: LoadReport = EMPTY_LOAD;
  /** When the load was last reported or asked for in vain (monotonic, milliseconds). */
  reportedAtMs = Number.NEGATIVE_INFINITY;
  private silences = 0;
  private dispatched: DispatchedWork[] = [];
  /** The platform's list says that the machine is leaving. */
  isLeaving = false;

  constructor(
    public intent: BackendIntent,
    maxConcurrency: number,
  ) {
    this.limit = new ConcurrencyLimit({ maximum: maxConcurrency });
  }

  get id(): string {
    return this.intent.id;
  }

  get takesNewWork(): boolean {
    const isWanted = this.intent.state === 'active' && !this.isLeaving;
    return isWanted && this.breaker.allows && this.silences < SILENCES_UNTIL_AVOIDED;
  }

  get load(): LoadReport {
    return this.report;
  }

  noteReport(report: LoadReport): void {
    this.report = report;
    this.reportedAtMs = monotonicMs();
    this.silences = 0;
  }

  /** Notes that the back end did not answer when asked for its load. */
  notePollFailure(): void {
    this.silences += 1;
    this.reportedAtMs = monotonicMs();
  }

  /** Notes work sent now, which the next reports do not show yet. */
  noteDispatched(prefillTokens: number): void {
    this.dispatched.push({ atMs: monotonicMs(), prefillTokens });
  }

  /** Prompt tokens waiting to be computed: as reported, plus what was sent since. */
  get estimatedPrefillTokens(): number {
    const since = monotonicMs() - ASSUMED_REPORT_LAG_MS;
    this.dispatched = this.dispatched.filter((work) => work.atMs >= since);
    const own = this.dispatched.reduce((sum, work) => sum + work.prefillTokens, 0);
    return this.report.pendingPrefillTokens + own;
  }

  /** Calls that are at the back end, as far as can be known here. */
  get estimatedCalls(): number {
    return Math.max(this.limit.inFlight, this.report.running + this.report.waiting);
  }
}
