/** Metrics of the shared backend statistics at a gateway. */
import { Counter, type Registry } from 'prom-client';
import { addGauge } from '../observability/index.js';
import type { SharedConditions } from './shared-conditions.js';

const MS_PER_SECOND = 1_000;

export class StatisticsMetrics {
  /** By `AttemptResult`. */
  readonly attempts: Counter<'result'>;
  readonly reports: Counter;
  readonly probes: Counter;

  constructor(private readonly registry: Registry) {
    const registers = [registry];
    this.attempts = new Counter({
      name: 'ledgegauge_backend_attempts_total',
      help: 'Attempts to send a call by what they say about the back end',
      labelNames: ['result'],
      registers,
    });
    this.reports = new Counter({
      name: 'ledgegauge_backend_statistics_reports_total',
      help: "Reports of back ends sent to the directory's leader",
      registers,
    });
    this.probes = new Counter({
      name: 'ledgegauge_backend_probes_total',
      help: 'Calls sent to a failing back end as a probe',
      registers,
    });
  }

  addGauges(conditions: SharedConditions): void {
    addGauge(
      this.registry,
      'ledgegauge_failing_backends',
      "Back ends that fail for callers of this gateway's zone",
      () => conditions.failingCount,
    );
    addGauge(
      this.registry,
      'ledgegauge_backend_statistics_age_seconds',
      'Time since the leader last sent statistics of back ends; infinite before the first',
      () => conditions.ageMs / MS_PER_SECOND,
    );
  }
}
