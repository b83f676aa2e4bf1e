/** The classes of prom-client that the platform program uses, without default process metrics. */
export { default as Registry } from '../node_modules/prom-client/lib/registry.js';
export { default as Counter } from '../node_modules/prom-client/lib/counter.js';
export { default as Gauge } from '../node_modules/prom-client/lib/gauge.js';
export { default as Histogram } from '../node_modules/prom-client/lib/histogram.js';

/** Not used by the platform program, which serves no default process metrics. */
export function collectDefaultMetrics() {
  throw new Error('default metrics are not included in this bundle');
}
