/** Runs the engine model in real time. */
import { SignalEvent, monotonicMs, sleep } from '../../src/common/index.js';
import type { EngineModel, LoadReport } from '../model/engine-model.js';

const LOAD_SAMPLES_KEPT = 256;
const IDLE_TICK_MS = 50;

interface LoadSample {
  atMs: number;
  report: LoadReport;
}

export class EngineRunner {
  private readonly workSignal = new SignalEvent();
  private readonly stopping = new AbortController();
  private samples: LoadSample[] = [];

  constructor(
    private readonly model: EngineModel,
    private readonly timeScale: number,
    private readonly loadReportLagMs: number,
  ) {
    void this.run();
  }

  /** Wakes the run loop after a request was submitted. */
  notify(): void {
    this.workSignal.notify();
  }

  stop(): void {
    this.stopping.abort();
    this.workSignal.notify();
  }

  /** The load as of `loadReportLagMs` ago: load reports of real engines are stale, too. */
  laggingLoad(): LoadReport {
    const visibleUntil = monotonicMs() - this.loadReportLagMs;
    const sample = this.samples.findLast((candidate) => candidate.atMs <= visibleUntil);
    return sample?.report ?? this.samples[0]?.report ?? this.model.load();
  }

  private async run(): Promise<void> {
    let dueMs = monotonicMs();
    while (!this.stopping.signal.aborted) {
      this.sampleLoad();
      const durationMs = this.model.step();
      if (durationMs > 0) {
        // Each step is scheduled relative to the previous due time, so that timer delays don't add up.
        dueMs = Math.max(dueMs + durationMs * this.timeScale, monotonicMs() - IDLE_TICK_MS);
        await sleep(Math.max(0, dueMs - monotonicMs()), this.stopping.signal);
        continue;
      }
      const idleSinceMs = monotonicMs();
      await this.workSignal.waitWithTimeout(IDLE_TICK_MS);
      dueMs = monotonicMs();
      this.model.idle((dueMs - idleSinceMs) / this.timeScale);
    }
  }

  private sampleLoad(): void {
    this.samples.push({ atMs: monotonicMs(), report: this.model.load() });
    if (this.samples.length > LOAD_SAMPLES_KEPT) {
      this.samples = this.samples.slice(LOAD_SAMPLES_KEPT / 2);
    }
  }
}
