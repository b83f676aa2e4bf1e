/** Simulated backends, which register and send heartbeats over HTTP. */
import { Agent, request } from 'undici';
import { sleep } from '../../src/common/index.js';
import { type BackendRegistration, incarnationId } from '../../src/directory/index.js';

export interface SimulatedBackendsOptions {
  count: number;
  /** `host:port` of the heartbeat endpoints of the control processes. */
  addresses: string[];
  /** Heartbeat interval of each backend, in milliseconds. */
  intervalMs: number;
}

export interface HeartbeatCounts {
  acknowledged: number;
  failed: number;
}

/** A heartbeat without an acknowledgement within this time counts as failed. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 1_000;
const MAX_CONNECTIONS = 200;
const HTTP_OK = 200;
const SLOTS_PER_BACKEND = 12;
const SERVICE_COUNT = 2;

export class SimulatedBackends {
  private readonly agent = new Agent({
    connections: MAX_CONNECTIONS,
    headersTimeout: ACKNOWLEDGEMENT_TIMEOUT_MS,
  });
  private readonly incarnationNumbers = new Map<number, number>();
  private readonly stopping = new AbortController();
  private counts: HeartbeatCounts = { acknowledged: 0, failed: 0 };
  private sent = 0;

  constructor(private readonly options: SimulatedBackendsOptions) {}

  /** Starts all backends, spread over one heartbeat interval. */
  start(): void {
    for (let number = 0; number < this.options.count; number += 1) void this.run(number);
  }

  stop(): void {
    this.stopping.abort();
  }

  /** Returns the counts since the previous call. */
  readAndResetCounts(): HeartbeatCounts {
    const { counts } = this;
    this.counts = { acknowledged: 0, failed: 0 };
    return counts;
  }

  /** Simulates a crash and restart: the backend registers a new incarnation under the same name. */
  restart(number: number): Promise<void> {
    this.incarnationNumbers.set(number, (this.incarnationNumbers.get(number) ?? 1) + 1);
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
    const incarnation = {
      name: `runner-${number}`,
      startedAt: this.incarnationNumbers.get(number) ?? 1,
    };
    return {
      ...incarnation,
      id: incarnationId(incarnation),
      service: `service-${number % SERVICE_COUNT}`,
      address: `10.128.${number >> 8}.${number % 256}:8080`,
      zone: `zone-${number % 3}`,
      slots: SLOTS_PER_BACKEND,
      phase: 'ready',
      sequence: this.sent,
    };
  }
}
