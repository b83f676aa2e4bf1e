/** Gauges whose value is read at each scrape. */
import { Gauge, type Registry } from 'prom-client';

export function addGauge(registry: Registry, name: string, help: string, read: () => number): void {
  new Gauge({
    name,
    help,
    registers: [registry],
    collect() {
      this.set(read());
    },
  });
}
