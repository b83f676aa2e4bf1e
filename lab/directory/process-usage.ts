/** Resource usage of a measured process. */
import { readFileSync } from 'node:fs';
import { monitorEventLoopDelay } from 'node:perf_hooks';

export interface ProcessUsage {
  /** Processor time so far, in milliseconds. */
  processorMs: number;
  /** Bytes written to connections and files so far. */
  writtenBytes: number;
  /** 99th percentile and maximum of the event loop delay since the previous reading, in milliseconds. */
  lateMs: number;
  worstLateMs: number;
}

const SAMPLE_INTERVAL_MS = 10;
const NANOSECONDS_PER_MS = 1e6;

export class UsageMeter {
  private readonly delay = monitorEventLoopDelay({ resolution: SAMPLE_INTERVAL_MS });

  constructor() {
    this.delay.enable();
  }

  read(): ProcessUsage {
    const { user, system } = process.cpuUsage();
    const lateness = (nanoseconds: number): number =>
      Math.max(0, nanoseconds / NANOSECONDS_PER_MS - SAMPLE_INTERVAL_MS);
    const usage = {
      processorMs: (user + system) / 1_000,
      writtenBytes: writtenBytes(),
      lateMs: lateness(this.delay.percentile(99)),
      worstLateMs: lateness(this.delay.max),
    };
    this.delay.reset();
    return usage;
  }
}

function writtenBytes(): number {
  const accounting = readFileSync('/proc/self/io', 'utf8');
  return Number(/^wchar: (\d+)/m.exec(accounting)?.[1] ?? 0);
}
