/** A gateway's state of one backend. */
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

/** Consecutive failed polls after which a backend gets no new work until it responds. */
const MAX_FAILED_POLLS = 2;
/** Assumed delay of load reports: calls dispatched within this time are not included in them. */
const REPORT_DELAY_MS = 350;

export class Backend {
  readonly breaker = new CircuitBreaker();
  readonly limit: ConcurrencyLimit;
  private report: LoadReport = EMPTY_LOAD;
  /** Time of the last load report or failed poll (monotonic, milliseconds). */
  reportedAtMs = Number.NEGATIVE_INFINITY;
  private failedPolls = 0;
  private dispatched: DispatchedWork[] = [];
  /** Whether the platform lists the machine as leaving. */
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
    return isWanted && this.breaker.allows && this.failedPolls < MAX_FAILED_POLLS;
  }

  get load(): LoadReport {
    return this.report;
  }

  noteReport(report: LoadReport): void {
    this.report = report;
    this.reportedAtMs = monotonicMs();
    this.failedPolls = 0;
  }

  notePollFailure(): void {
    this.failedPolls += 1;
    this.reportedAtMs = monotonicMs();
  }

  /** Records dispatched work, which the next reports do not include yet. */
  noteDispatched(prefillTokens: number): void {
    this.dispatched.push({ atMs: monotonicMs(), prefillTokens });
  }

  /** Prompt tokens queued for prefill: as reported, plus recently dispatched ones. */
  get estimatedPrefillTokens(): number {
    const since = monotonicMs() - REPORT_DELAY_MS;
    this.dispatched = this.dispatched.filter((work) => work.atMs >= since);
    const own = this.dispatched.reduce((sum, work) => sum + work.prefillTokens, 0);
    return this.report.pendingPrefillTokens + own;
  }

  /** Lower bound of the calls at the backend. */
  get estimatedCalls(): number {
    return Math.max(this.limit.inFlight, this.report.running + this.report.waiting);
  }
}
