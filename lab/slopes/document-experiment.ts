/** What the size of the configuration costs: memory of a gateway, time and bytes of a change. */
import { monotonicMs } from '../../src/common/index.js';
import { INTENTS_GROUP } from '../../src/intents/index.js';
import { HollowProcess } from '../hollow/hollow-process.js';
import { ControlFleet } from './control-fleet.js';
import { createDocument } from './large-document.js';
import { startMeasuredNodes } from './hollow-nodes.js';
import type { Point } from './linear-fit.js';
import { type SlopeExperiment, createSlope } from './slope.js';

const ENGINES = [500, 1_000, 2_000, 5_000, 10_000];
const TENANT_SHARE = 0.56;
const MODELS = 30;
const NODES = 8;
const CHANGES = 4;
const ZONES = Array.from({ length: 15 }, (_, index) => `zone-${index + 1}`);
const HOLLOW_NODES = Array.from({ length: NODES }, (_, index) => ({
  name: `node-${index}`,
  zone: ZONES[0]!,
}));
const SETTINGS = { engineSubset: 8, maxLoadAgeMs: 60_000 };
const MS_PER_SECOND = 1_000;

export const documentExperiment: SlopeExperiment = {
  name: 'document',
  async run(report) {
    const control = await ControlFleet.up(1);
    const heap: Point[] = [];
    const changeTime: Point[] = [];
    const leaderCpu: Point[] = [];
    const wholeBytes: Point[] = [];
    const changeBytes: Point[] = [];
    for (const engines of ENGINES) {
      report(`${engines} engines`);
      const tenants = Math.round(engines * TENANT_SHARE);
      const hollow = new HollowProcess();
      const address = await hollow.listen();
      const addressOf = (): string => address;
      const size = { models: MODELS, tenants, engines, zones: ZONES, addressOf };
      await control.fleet.applyIntents(createDocument(size));
      await startMeasuredNodes(hollow, control, HOLLOW_NODES, SETTINGS);
      const whole = await hollow.statistics();
      heap.push({ x: engines, y: whole.heapBytes / NODES });
      wholeBytes.push({ x: engines, y: whole.controlBytes / NODES });
      const leader = await control.leaderOf(INTENTS_GROUP);
      const before = await control.meter(leader);
      const startedAt = monotonicMs();
      for (let change = 1; change <= CHANGES; change += 1) {
        const { revision } = await control.fleet.applyIntents(createDocument(size, change));
        await waitRevision(hollow, control, revision);
      }
      const elapsedMs = monotonicMs() - startedAt;
      const after = await control.meter(leader);
      const statistics = await hollow.statistics();
      changeTime.push({ x: engines, y: elapsedMs / CHANGES });
      const cpuMs = (after.cpuSeconds - before.cpuSeconds) * MS_PER_SECOND;
      leaderCpu.push({ x: engines, y: cpuMs / CHANGES });
      const bytes = statistics.controlBytes - whole.controlBytes;
      changeBytes.push({ x: engines, y: bytes / NODES / (elapsedMs / MS_PER_SECOND) });
      await hollow.stop();
    }
    await control.down();
    const driver = 'engines in the document (0.56 tenants each)';
    const of = (
      name: string,
      role: 'gateway' | 'control leader',
      quantity: string,
      points: Point[],
    ) => createSlope({ name, role, driver, quantity }, points);
    return [
      of('document.gateway-heap', 'gateway', 'heap bytes a gateway', heap),
      of('document.whole-bytes', 'gateway', 'bytes to learn the whole document', wholeBytes),
      of('document.change-time', 'control leader', 'ms from plan to in force', changeTime),
      of('document.leader-cpu', 'control leader', 'processor ms a change', leaderCpu),
      of('document.change-bytes', 'gateway', 'bytes a second under changes', changeBytes),
    ];
  },
};

async function waitRevision(
  hollow: HollowProcess,
  control: ControlFleet,
  revision: number,
): Promise<void> {
  await control.fleet.waitFor('in force', async () => {
    const states = await hollow.states();
    return states.every((node) => node.revision >= revision);
  });
}
