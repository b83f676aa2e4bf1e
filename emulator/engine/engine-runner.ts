/** Runs the engine model against the wall clock. */
import { SignalEvent, monotonicMs, sleep } from '../../src/common/index.js';
import type { EngineModel, LoadReport } from '../model/engine-model.js';

const LOAD_SAMPLES_KEPT = 256;
const IDLE_TICK_MS = 50;

interface LoadSample {
  atMs: number;
  report: LoadReport;
}

export class EngineRunner {
  private readonly wake = new SignalEvent();
  private readonly stopping = new AbortController();
  private samples: LoadSample[] = [];

  constructor(
    private readonly model: EngineModel,
    private readonly timeScale: number,
    private readonly loadReportLagMs: number,
  ) {
    void this.run();
  }

  /** Tells that there is work. */
  notify(): void {
    this.wake.notify();
  }

  stop(): void {
    this.stopping.abort();
    this.wake.notify();
  }

  /** The load as it was some time ago, as real engines report it. */
  laggingLoad(): LoadReport {
    const visibleUntil = monotonicMs() - this.loadReportLagMs;
    const sample = this.samples.findLast((candidate) => candidate.atMs <= visibleUntil);
    return sample?.report ?? this.samples[0]?.report ?? this.model.load();
  }

  private async run(): Promise<void> {
    let due = monotonicMs();
    while (!this.stopping.signal.aborted) {
      this.sampleLoad();
      const durationMs = this.model.step();
      if (durationMs > 0) {
        // Steps are due one after the other, so that late timers do not add up.
        due = Math.max(due + durationMs * this.timeScale, monotonicMs() - IDLE_TICK_MS);
        await sleep(Math.max(0, due - monotonicMs()), this.stopping.signal);
        continue;
      }
      const idleSince = monotonicMs();
      await this.wake.waitWithTimeout(IDLE_TICK_MS);
      due = monotonicMs();
      this.model.idle((due - idleSince) / this.timeScale);
    }
  }

  private sampleLoad(): void {
    this.samples.push({ atMs: monotonicMs(), report: this.model.load() });
    if (this.samples.length > LOAD_SAMPLES_KEPT) {
      this.samples = this.samples.slice(LOAD_SAMPLES_KEPT / 2);
    }
  }
}
