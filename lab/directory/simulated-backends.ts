/** Back ends that register and send heartbeats over HTTP, as a platform's do. */
import { Agent, request } from 'undici';
import { sleep } from '../../src/common/index.js';
import { type BackendRegistration, incarnationId } from '../../src/directory/index.js';

export interface SimulatedBackendsOptions {
  count: number;
  /** `host:port` of the control processes' endpoints for heartbeats. */
  addresses: string[];
  /** Time between two heartbeats of a back end, in milliseconds. */
  intervalMs: number;
}

export interface HeartbeatCounts {
  acknowledged: number;
  failed: number;
}

/** An acknowledgement that comes later doesn't count, in milliseconds. */
const PATIENCE_MS = 1_000;
const CONNECTIONS = 200;
const HTTP_OK = 200;
const SLOTS = 12;
const SERVICES = 2;

export class SimulatedBackends {
  private readonly agent = new Agent({ connections: CONNECTIONS, headersTimeout: PATIENCE_MS });
  private readonly starts = new Map<number, number>();
  private readonly stopping = new AbortController();
  private counts: HeartbeatCounts = { acknowledged: 0, failed: 0 };
  private sent = 0;

  constructor(private readonly options: SimulatedBackendsOptions) {}

  /** All begin within one interval. */
  start(): void {
    for (let number = 0; number < this.options.count; number += 1) void this.run(number);
  }

  stop(): void {
    this.stopping.abort();
  }

  /** Counts since the call before. */
  readAndResetCounts(): HeartbeatCounts {
    const { counts } = this;
    this.counts = { acknowledged: 0, failed: 0 };
    return counts;
  }

  /** A back end ends without a word and starts again under its name. */
  restart(number: number): Promise<void> {
    this.starts.set(number, (this.starts.get(number) ?? 1) + 1);
    return this.send(number);
  }

  private async run(number: number): Promise<void> {
    const { intervalMs } = this.options;
    const { signal } = this.stopping;
    await sleep(Math.random() * intervalMs, signal);
    while (!signal.aborted) {
      await Promise.all([this.send(number), sleep(intervalMs, signal)]);
    }
  }

  private async send(number: number): Promise<void> {
    const { addresses } = this.options;
    this.sent += 1;
    const address = addresses[this.sent % addresses.length]!;
    try {
      const response = await request(`http://${address}/`, {
        method: 'PUT',
        body: JSON.stringify(this.registration(number)),
        dispatcher: this.agent,
      });
      await response.body.dump();
      this.counts[response.statusCode === HTTP_OK ? 'acknowledged' : 'failed'] += 1;
    } catch {
      this.counts.failed += 1;
    }
  }

  private registration(number: number): BackendRegistration {
    const incarnation = { name: `runner-${number}`, startedAt: this.starts.get(number) ?? 1 };
    return {
      ...incarnation,
      id: incarnationId(incarnation),
      service: `service-${number % SERVICES}`,
      address: `10.128.${number >> 8}.${number % 256}:8080`,
      zone: `zone-${number % 3}`,
      slots: SLOTS,
      phase: 'ready',
      sequence: this.sent,
    };
  }
}
