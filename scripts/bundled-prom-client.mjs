/** The classes of prom-client that the platform's program uses, without its metrics of processes. */
export { default as Registry } from '../node_modules/prom-client/lib/registry.js';
export { default as Counter } from '../node_modules/prom-client/lib/counter.js';
export { default as Gauge } from '../node_modules/prom-client/lib/gauge.js';
export { default as Histogram } from '../node_modules/prom-client/lib/histogram.js';

/** Metrics of the process itself are served by the first product's processes only. */
export function collectDefaultMetrics() {
  throw new Error('default metrics are not part of this program');
}
