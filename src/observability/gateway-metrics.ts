/** Counters and histograms of a gateway. */
import { Counter, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import { addGauge } from './gauge.js';

/** Bounds of latency histograms, in seconds. */
const LATENCY_BUCKETS = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30];

export class GatewayMetrics {
  readonly registry = new Registry();
  readonly calls: Counter<'kind' | 'result'>;
  readonly refusals: Counter<'reason'>;
  readonly restarts: Counter<'cause'>;
  readonly resumedStreams: Counter;
  readonly followedCalls: Counter;
  readonly backendErrors: Counter<'backend' | 'error'>;
  readonly shutdownCalls: Counter<'outcome'>;
  readonly firstToken: Histogram;

  constructor() {
    const registers = [this.registry];
    collectDefaultMetrics({ register: this.registry });
    this.calls = new Counter({
      name: 'ledgegauge_gateway_calls_total',
      help: 'Calls by kind and result',
      labelNames: ['kind', 'result'],
      registers,
    });
    this.refusals = new Counter({
      name: 'ledgegauge_gateway_refusals_total',
      help: 'Calls refused as not run, by reason',
      labelNames: ['reason'],
      registers,
    });
    this.restarts = new Counter({
      name: 'ledgegauge_gateway_restarts_total',
      help: 'Attempts started anew on another engine, by cause',
      labelNames: ['cause'],
      registers,
    });
    this.resumedStreams = new Counter({
      name: 'ledgegauge_gateway_resumed_streams_total',
      help: 'Engine streams taken up again after a broken connection',
      registers,
    });
    this.followedCalls = new Counter({
      name: 'ledgegauge_gateway_followed_calls_total',
      help: 'Calls found under way at another gateway',
      registers,
    });
    this.backendErrors = new Counter({
      name: 'ledgegauge_gateway_backend_errors_total',
      help: 'Failures of back ends',
      labelNames: ['backend', 'error'],
      registers,
    });
    this.shutdownCalls = new Counter({
      name: 'ledgegauge_gateway_shutdown_calls_total',
      help: 'Requests that the stop of the process ended, by the outcome that their callers were told',
      labelNames: ['outcome'],
      registers,
    });
    this.firstToken = new Histogram({
      name: 'ledgegauge_gateway_first_token_seconds',
      help: 'From arrival of a model call to its first token',
      buckets: LATENCY_BUCKETS,
      registers,
    });
  }

  /** Registers a gauge that is read at each scrape. */
  gauge(name: string, help: string, read: () => number): void {
    addGauge(this.registry, `ledgegauge_gateway_${name}`, help, read);
  }
}
