/**
 * Keeps load reports of the watched engines fresh. Answers carry reports along; only engines that
 * have been silent for a while are asked, the longest silent first, within a bound on requests a
 * second, because the bandwidth for such things is bounded.
 */
import { Agent } from 'undici';
import { monotonicMs, sleep } from '../common/index.js';
import { backendConnector } from '../http/index.js';
import type { Backend } from './backend.js';
import type { BackendTable } from './backend-table.js';
import { callBackend } from './http-call.js';
import { type LoadReport, loadReportSchema } from './load-report.js';

export interface LoadPollerOptions {
  table: Pick<BackendTable, 'watchedEngines'>;
  /** An engine is asked when its last report is older than this, in milliseconds. */
  maxAgeMs: number;
  maxPollsPerSecond: number;
  /** Asks one engine. */
  fetchLoad: (backend: Backend) => Promise<LoadReport>;
}

const MINIMUM_TICK_MS = 50;
const MS_PER_SECOND = 1_000;
const TIMEOUT_MS = 1_000;

export class LoadPoller {
  private readonly stopping = new AbortController();
  private readonly busy = new Set<Backend>();
  private allowance = 0;

  constructor(private readonly options: LoadPollerOptions) {}

  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopping.abort();
  }

  private async run(): Promise<void> {
    const { signal } = this.stopping;
    const { maxPollsPerSecond } = this.options;
    const tickMs = Math.max(MINIMUM_TICK_MS, MS_PER_SECOND / maxPollsPerSecond);
    const perTick = (maxPollsPerSecond * tickMs) / MS_PER_SECOND;
    while (!signal.aborted) {
      this.allowance = Math.min(maxPollsPerSecond, this.allowance + perTick);
      this.pollLongestSilent();
      await sleep(tickMs, signal);
    }
  }

  private pollLongestSilent(): void {
    while (this.allowance >= 1) {
      const backend = this.longestSilent();
      if (!backend) return;
      this.allowance -= 1;
      void this.poll(backend);
    }
  }

  private longestSilent(): Backend | undefined {
    const latestMs = monotonicMs() - this.options.maxAgeMs;
    let longest: Backend | undefined;
    for (const backend of this.options.table.watchedEngines) {
      if (backend.reportedAtMs > latestMs || this.busy.has(backend)) continue;
      if (!longest || backend.reportedAtMs < longest.reportedAtMs) longest = backend;
    }
    return longest;
  }

  private async poll(backend: Backend): Promise<void> {
    this.busy.add(backend);
    try {
      backend.noteReport(await this.options.fetchLoad(backend));
    } catch {
      backend.notePollFailure();
    }
    this.busy.delete(backend);
  }
}

/** Asks engines over HTTP. */
export class LoadFetcher {
  private readonly agent = new Agent({ connections: 1, connect: backendConnector(TIMEOUT_MS) });

  constructor(private readonly resolveAddress: (address: string) => string) {}

  async fetch(backend: Backend): Promise<LoadReport> {
    const response = await callBackend(this.agent, {
      step: 'engine.load',
      address: this.resolveAddress(backend.intent.address),
      method: 'GET',
      path: '/v1/load',
      headersTimeoutMs: TIMEOUT_MS,
      idleTimeoutMs: TIMEOUT_MS,
    });
    return loadReportSchema.parse(await response.body.json());
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }
}
