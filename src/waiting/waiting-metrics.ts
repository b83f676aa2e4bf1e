/** Counters, histogram and gauges of waiting calls. */
import { Counter, Histogram, type Registry } from 'prom-client';
import { addGauge } from '../observability/index.js';

/** How a call left the queue. */
export type WaitingOutcome =
  /** A permit was available on arrival. */
  | 'immediate'
  /** It got a permit after a wait. */
  | 'released'
  /** Refused on arrival, by the expected wait. */
  | 'refused-on-arrival'
  /** Refused while waiting, by the expected wait or because its time had run out. */
  | 'refused-while-waiting'
  /** Refused because the queue was full. */
  | 'queue-full'
  /** The caller left. */
  | 'abandoned';

const WAIT_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6];
const MS_PER_SECOND = 1_000;

export interface WaitingGauges {
  calls: () => number;
  bytes: () => number;
}

export class WaitingMetrics {
  private readonly calls: Counter<'service' | 'outcome'>;
  private readonly duration: Histogram<'outcome'>;

  constructor(private readonly registry: Registry) {
    const registers = [registry];
    this.calls = new Counter({
      name: 'ledgegauge_waiting_outcomes_total',
      help: 'Calls that requested a permit, by service and outcome',
      labelNames: ['service', 'outcome'],
      registers,
    });
    this.duration = new Histogram({
      name: 'ledgegauge_waiting_seconds',
      help: 'Time in the queue of calls that waited, by outcome',
      labelNames: ['outcome'],
      buckets: WAIT_BUCKETS,
      registers,
    });
  }

  addGauges({ calls, bytes }: WaitingGauges): void {
    addGauge(this.registry, 'ledgegauge_waiting_calls', 'Calls that wait for a permit', calls);
    addGauge(this.registry, 'ledgegauge_waiting_bytes', 'Bytes held by waiting calls', bytes);
  }

  note(service: string, outcome: WaitingOutcome, waitedMs: number): void {
    this.calls.inc({ service, outcome });
    if (waitedMs > 0) this.duration.observe({ outcome }, waitedMs / MS_PER_SECOND);
  }
}
