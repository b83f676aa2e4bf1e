/** Metrics of a gateway's health. */
import { Counter, type Registry } from 'prom-client';
import { addGauge } from '../observability/index.js';
import type { EventLoopLoad } from './overload-detector.js';

export type UnreadyReason = 'cut-off' | 'overloaded';

/** The state that the gauges read. */
export interface ObservedHealth {
  readonly isReady: boolean;
  readonly isCutOff: boolean;
  readonly isOverloaded: boolean;
  readonly eventLoopLoad: EventLoopLoad;
}

export class HealthMetrics {
  private readonly unready: Counter<'reason'>;

  constructor(private readonly registry: Registry) {
    this.unready = new Counter({
      name: 'ledgegauge_gateway_health_unready_total',
      help: 'Times the gateway became not ready, by reason',
      labelNames: ['reason'],
      registers: [registry],
    });
  }

  /** Adds gauges that read the state at each scrape. */
  observe(health: ObservedHealth): void {
    const add = (name: string, help: string, read: () => number): void =>
      addGauge(this.registry, `ledgegauge_gateway_health_${name}`, help, read);
    add('cut_off', 'Whether neither leader answers', () => Number(health.isCutOff));
    add('overloaded', 'Whether the event loop is overloaded', () => Number(health.isOverloaded));
    add(
      'event_loop_utilization',
      'Busy fraction of the event loop in the latest interval',
      () => health.eventLoopLoad.utilization,
    );
    add(
      'event_loop_delay_seconds',
      '99th percentile of the event loop delay in the latest interval',
      () => health.eventLoopLoad.delayMs / 1_000,
    );
  }

  noteUnready(reason: UnreadyReason): void {
    this.unready.inc({ reason });
  }
}
