/** Metrics of a control process. */
import { Registry, collectDefaultMetrics } from 'prom-client';
import type { GroupHost, PeerDirectory } from '../consensus/index.js';
import { addGauge } from '../observability/index.js';
import type { WriteAheadLog } from '../log-store/index.js';

export interface ControlMetricsSources {
  host: GroupHost;
  wal: WriteAheadLog;
  peers: PeerDirectory;
}

/** Registers gauges that read their sources at each scrape. */
export function createControlMetrics(sources: ControlMetricsSources): Registry {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  const gauge = (name: string, help: string, read: () => number): void =>
    addGauge(registry, `ledgegauge_control_${name}`, help, read);
  const { host, wal, peers } = sources;
  gauge('groups', 'Replicated groups on this member', () => host.all().length);
  gauge(
    'groups_led',
    'Groups that this member leads',
    () => host.all().filter((group) => group.isLeader).length,
  );
  gauge('applied_entries', 'Sum of applied log indexes', () =>
    host.all().reduce((sum, group) => sum + group.applier.appliedIndex, 0),
  );
  gauge('log_syncs', 'Syncs of the write-ahead log', () => wal.counters.syncs);
  gauge('log_bytes', 'Bytes written to the write-ahead log', () => wal.counters.bytes);
  gauge('log_records', 'Records written to the write-ahead log', () => wal.counters.records);
  gauge('peer_bytes_sent', 'Bytes sent to other members', () => peers.totalTraffic.sent);
  gauge('peer_bytes_received', 'Bytes received on own links', () => peers.totalTraffic.received);
  return registry;
}
