/** Health and Prometheus metrics endpoints of the emulators. */
import { Registry, collectDefaultMetrics } from 'prom-client';
import { type HttpRouter, sendJson } from '../src/http/index.js';
import { addGauge } from '../src/observability/index.js';

/** A gauge whose value is read at each scrape. */
export interface EmulatorGauge {
  name: string;
  help: string;
  read: () => number;
}

export function addStatusPages(router: HttpRouter, gauges: readonly EmulatorGauge[] = []): void {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  for (const { name, help, read } of gauges) {
    addGauge(registry, `ledgegauge_emulator_${name}`, help, read);
  }
  for (const path of ['/healthz', '/readyz']) {
    router.on('GET', path, async ({ response }) => sendJson(response, 200, { status: 'ok' }));
  }
  router.on('GET', '/metrics', async ({ response }) => {
    response.writeHead(200, { 'content-type': registry.contentType });
    response.end(await registry.metrics());
  });
}
