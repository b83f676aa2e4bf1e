/** Real control group without backends, for measuring the resource usage of its processes. */
import { createWorkFolder, removeWorkFolder } from '../cli/work-folder.js';
import { Fleet } from '../fleet/fleet.js';
import type { Deployment } from '../fleet/topology.js';
import { findLeader } from '../fleet/cluster-status.js';
import { metricValue, readMetrics } from '../fleet/process-metrics.js';

const ZONES = ['region-1-zone-1', 'region-2-zone-1', 'region-3-zone-1'];

/** Control processes and idle gateways, because a fleet has one gateway per zone. */
const CONTROL_ONLY: Omit<Deployment, 'zones' | 'controlZones'> = {
  name: 'pipeline',
  engines: { name: 'none', count: 0 },
  services: { name: 'none', count: 0 },
  serviceNames: [],
  model: 'model-1',
  tenants: ['tenant-1'],
  zoneDelayMs: 0,
  clientDelayMs: 0,
};

export interface ResourceCounters {
  /** Processor time used so far, in seconds. */
  cpuSeconds: number;
  logBytes: number;
  logSyncs: number;
  peerBytes: number;
}

export class ControlFleet {
  private constructor(
    readonly fleet: Fleet,
    private readonly workFolder: string,
  ) {}

  /** @param zones zone of each control member */
  static async up(journalGroups: number, zones: string[] = ZONES): Promise<ControlFleet> {
    const workFolder = createWorkFolder('control');
    const deployment = { ...CONTROL_ONLY, zones: [...new Set(zones)], controlZones: zones };
    const options = { deployment, workFolder, timeScale: 1, journalGroups, seed: 1 };
    return new ControlFleet(await Fleet.up(options), workFolder);
  }

  get secret(): string {
    const { cluster } = this.fleet.ofKind('control')[0]!.plan.settings as {
      cluster: { secret: string };
    };
    return cluster.secret;
  }

  get controlAddresses(): string[] {
    return this.fleet.ofKind('control').map((control) => control.plan.address);
  }

  async leaderOf(group: string): Promise<string> {
    let leader: string | undefined;
    await this.fleet.waitFor('leader', async () => {
      leader = await findLeader(this.fleet, group);
      return leader !== undefined;
    });
    return leader!;
  }

  async readCounters(process: string): Promise<ResourceCounters> {
    const { statusAddress } = this.fleet.process(process).plan;
    const page = await readMetrics(statusAddress!);
    const read = (name: string): number => metricValue(page, name);
    return {
      cpuSeconds: read('process_cpu_seconds_total'),
      logBytes: read('ledgegauge_control_log_bytes'),
      logSyncs: read('ledgegauge_control_log_syncs'),
      peerBytes:
        read('ledgegauge_control_peer_bytes_sent') + read('ledgegauge_control_peer_bytes_received'),
    };
  }

  async down(): Promise<void> {
    await this.fleet.down();
    removeWorkFolder(this.workFolder);
  }
}

/** Rates per second between two readings. */
export function ratesPerSecond(
  before: ResourceCounters,
  after: ResourceCounters,
  elapsedMs: number,
): ResourceCounters {
  const seconds = elapsedMs / 1_000;
  const rate = (read: (counters: ResourceCounters) => number): number =>
    (read(after) - read(before)) / seconds;
  return {
    cpuSeconds: rate((counters) => counters.cpuSeconds),
    logBytes: rate((counters) => counters.logBytes),
    logSyncs: rate((counters) => counters.logSyncs),
    peerBytes: rate((counters) => counters.peerBytes),
  };
}
