/** Gauges of the connections of a process's main HTTP server. */
import type { Registry } from 'prom-client';
import { addGauge } from '../observability/index.js';
import type { ServerConnections } from './server-connections.js';

export function addConnectionGauges(registry: Registry, connections: ServerConnections): void {
  const add = (name: string, help: string, read: () => number): void =>
    addGauge(registry, `ledgegauge_http_${name}`, help, read);
  add('connections', 'Open connections of callers', () => connections.openConnections);
  add(
    'closed_idle_connections',
    'Idle connections that were closed in favour of new ones',
    () => connections.closedIdleConnections,
  );
  add(
    'refused_connections',
    'Connections that were refused because all others were in use',
    () => connections.refusedConnections,
  );
  add(
    'waiting_requests',
    'Requests that were received and wait for the response of an earlier one',
    () => connections.waitingRequests,
  );
}
