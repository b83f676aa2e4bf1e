/**
 * Polls the load of monitored engines. Since responses to calls include load reports, only engines
 * without a recent report are polled, oldest report first and at a limited rate.
 */
import { Agent } from 'undici';
import { monotonicMs, sleep } from '../common/index.js';
import { backendConnector, readBoundedJson } from '../http/index.js';
import type { Backend } from './backend.js';
import type { BackendTable } from './backend-table.js';
import { callBackend } from './http-call.js';
import { type LoadReport, loadReportSchema } from './load-report.js';

export interface LoadPollerOptions {
  table: Pick<BackendTable, 'watchedEngines'>;
  /** Age of the last report from which an engine is polled, in milliseconds. */
  maxAgeMs: number;
  maxPollsPerSecond: number;
  fetchLoad: (backend: Backend) => Promise<LoadReport>;
}

const MINIMUM_TICK_MS = 50;
const MS_PER_SECOND = 1_000;
const TIMEOUT_MS = 1_000;
const REPORT_BOUNDS = { maxBytes: 1024 * 1024, timeoutMs: TIMEOUT_MS };

export class LoadPoller {
  private readonly stopping = new AbortController();
  private readonly polling = new Set<Backend>();
  private pollTokens = 0;

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
      this.pollTokens = Math.min(maxPollsPerSecond, this.pollTokens + perTick);
      this.pollOldest();
      await sleep(tickMs, signal);
    }
  }

  private pollOldest(): void {
    while (this.pollTokens >= 1) {
      const backend = this.oldestReport();
      if (!backend) return;
      this.pollTokens -= 1;
      void this.poll(backend);
    }
  }

  private oldestReport(): Backend | undefined {
    const latestMs = monotonicMs() - this.options.maxAgeMs;
    let oldest: Backend | undefined;
    for (const backend of this.options.table.watchedEngines) {
      if (backend.reportedAtMs > latestMs || this.polling.has(backend)) continue;
      if (!oldest || backend.reportedAtMs < oldest.reportedAtMs) oldest = backend;
    }
    return oldest;
  }

  private async poll(backend: Backend): Promise<void> {
    this.polling.add(backend);
    try {
      backend.noteReport(await this.options.fetchLoad(backend));
    } catch {
      backend.notePollFailure();
    }
    this.polling.delete(backend);
  }
}

/** Fetches load reports over HTTP. */
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
    return loadReportSchema.parse(await readBoundedJson(response.body, REPORT_BOUNDS));
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }
}
