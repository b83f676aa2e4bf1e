/** What a measured process has used of the machine. */
import { readFileSync } from 'node:fs';
import { monitorEventLoopDelay } from 'node:perf_hooks';

export interface ProcessUsage {
  /** Processor time so far, in milliseconds. */
  processorMs: number;
  /** Bytes handed to the system so far: to connections, and to files. */
  writtenBytes: number;
  /** Lateness of the event loop since the question before: of 99 in 100 of its samples, and the worst, in milliseconds. */
  lateMs: number;
  worstLateMs: number;
}

const RESOLUTION_MS = 10;
const NANOSECONDS = 1e6;

export class UsageMeter {
  private readonly delay = monitorEventLoopDelay({ resolution: RESOLUTION_MS });

  constructor() {
    this.delay.enable();
  }

  read(): ProcessUsage {
    const { user, system } = process.cpuUsage();
    const lateness = (nanoseconds: number): number =>
      Math.max(0, nanoseconds / NANOSECONDS - RESOLUTION_MS);
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
