/** What configuration leases cost: at the leader for each gateway, and at the gateway itself. */
import { monotonicMs, sleep } from '../../src/common/index.js';
import { INTENTS_GROUP } from '../../src/intents/index.js';
import { HollowProcess } from '../hollow/hollow-process.js';
import { ControlFleet, growthPerSecond } from './control-fleet.js';
import { startMeasuredNodes } from './hollow-nodes.js';
import type { Point } from './linear-fit.js';
import { type SlopeExperiment, createSlope } from './slope.js';

const SIZES = [100, 200, 400, 800, 1_600];
const MEASURE_MS = 5_000;
const SETTLE_MS = 1_500;
const MS_PER_SECOND = 1_000;

export const leaseExperiment: SlopeExperiment = {
  name: 'leases',
  async run(report) {
    const control = await ControlFleet.up(1);
    const leaderCpu: Point[] = [];
    const nodeCpu: Point[] = [];
    const nodeBytes: Point[] = [];
    const heap: Point[] = [];
    for (const count of SIZES) {
      report(`${count} gateways`);
      const hollow = new HollowProcess();
      const nodes = Array.from({ length: count }, (_, index) => ({
        name: `node-${index}`,
        zone: 'zone',
      }));
      const settings = { engineSubset: 1, maxLoadAgeMs: MS_PER_SECOND };
      await startMeasuredNodes(hollow, control, nodes, settings);
      await sleep(SETTLE_MS);
      const leader = await control.leaderOf(INTENTS_GROUP);
      const before = await control.meter(leader);
      const statisticsBefore = await hollow.statistics();
      const startedAt = monotonicMs();
      await sleep(MEASURE_MS);
      const elapsedMs = monotonicMs() - startedAt;
      const growth = growthPerSecond(before, await control.meter(leader), elapsedMs);
      const statistics = await hollow.statistics();
      const seconds = elapsedMs / MS_PER_SECOND;
      leaderCpu.push({ x: count, y: growth.cpuSeconds * MS_PER_SECOND });
      nodeCpu.push({ x: count, y: (statistics.cpuMs - statisticsBefore.cpuMs) / seconds });
      const bytes = statistics.controlBytes - statisticsBefore.controlBytes;
      nodeBytes.push({ x: count, y: bytes / seconds });
      heap.push({ x: count, y: statistics.heapBytes });
      await hollow.stop();
    }
    await control.down();
    const driver = 'gateways that renew every 400 ms';
    return [
      createSlope(
        {
          name: 'lease.leader-cpu',
          role: 'control leader',
          driver,
          quantity: 'processor ms a second',
        },
        leaderCpu,
      ),
      createSlope(
        {
          name: 'lease.gateway-cpu',
          role: 'gateway',
          driver,
          quantity: 'processor ms a second, all',
        },
        nodeCpu,
      ),
      createSlope(
        { name: 'lease.gateway-bytes', role: 'gateway', driver, quantity: 'bytes a second, all' },
        nodeBytes,
      ),
      createSlope(
        { name: 'lease.gateway-heap', role: 'gateway', driver, quantity: 'heap bytes, all' },
        heap,
      ),
    ];
  },
};
