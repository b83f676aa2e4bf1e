/**
 * The letter's fleet, hollow: 1,600 nodes and 10,000 runners before a real control group. Measures
 * how changes spread, how failures are noticed and mended, and what control costs a node.
 */
import { request } from 'undici';
import { SeededRandom, monotonicMs, sleep } from '../../src/common/index.js';
import { INTENTS_GROUP, type IntentDocument } from '../../src/intents/index.js';
import type { SystemStatus } from '../../src/operators/index.js';
import type { HollowNodeState } from '../hollow/hollow-messages.js';
import { type Percentiles, percentilesOf } from '../load/percentiles.js';
import { ControlFleet, growthPerSecond } from '../slopes/control-fleet.js';
import { createDocument } from '../slopes/large-document.js';
import { HollowFleet } from './hollow-fleet.js';
import { CONTROL_ZONES, SCALE_ZONES, type ScaleNode, type ScaleSize } from './scale-topology.js';

export interface ScaleReport {
  size: ScaleSize;
  zones: number;
  hollowProcesses: number;
  /** Resident memory of all hollow processes together. */
  hollowResidentBytes: number;
  startMs: number;
  /** From the operator's confirmation to in force at a node, over all nodes and changes. */
  inForceMs: Percentiles;
  /** The same for the last of 100 changes confirmed one after the other. */
  burst: { changes: number; confirmMs: number; lastInForceMs: Percentiles };
  /** Cost of control for a node while nothing changes and while changes come at the letter's rate. */
  node: { bytesPerSecond: number; cpuShare: number; loadPollsPerSecond: number };
  leader: { cpuShare: number; peerBytesPerSecond: number };
  /** From a node's silence until control no longer counts it. */
  detectionMs: number;
  zoneLost: { nodes: number; detectionMs: number; backMs: number };
  restarts: { count: number; inMs: number; slowestBackMs: number };
  region: { nodes: number; cutMs: number; changesMeanwhile: number; caughtUpMs: number };
}

const PATIENCE_MS = 90_000;
const STEADY_MS = 10_000;
const PACED_CHANGES = 12;
/** 37,000 changes a day. */
const CHANGE_INTERVAL_MS = (24 * 60 * 60 * 1_000) / 37_000;
const BURST_CHANGES = 100;
const RESTARTS = 840;
const RESTART_SPAN_MS = 20_000;
const REGION_CUT_MS = 15_000;
const CHANGES_WHILE_CUT = 30;
const JOURNAL_GROUPS = 8;
const MS_PER_SECOND = 1_000;
const NOTHING = { models: [], tenants: [], backends: [] };

export class ScaleRun {
  private readonly random: SeededRandom;
  private control!: ControlFleet;
  private hollow!: HollowFleet;
  private variant = 0;
  private document!: IntentDocument;
  private addressOf!: (runner: number) => string;

  constructor(
    private readonly size: ScaleSize,
    seed: number,
    private readonly report: (step: string) => void,
  ) {
    this.random = new SeededRandom(seed);
  }

  async run(): Promise<ScaleReport> {
    this.control = await ControlFleet.up(JOURNAL_GROUPS, [...CONTROL_ZONES]);
    this.hollow = new HollowFleet(this.control, this.size);
    try {
      return await this.measure();
    } finally {
      await this.hollow.stop();
      await this.control.down();
    }
  }

  private async measure(): Promise<ScaleReport> {
    this.report('document and nodes');
    this.addressOf = await this.hollow.listen();
    await this.declareAll();
    const startedAt = monotonicMs();
    await this.hollow.start();
    await this.hollow.waitFor('all nodes serve', allHeld, PATIENCE_MS);
    const startMs = monotonicMs() - startedAt;
    const { node, leader, inForceMs } = await this.measureSteady();
    const burst = await this.measureBurst();
    const detectionMs = await this.measureDetection(this.hollow.nodes.slice(0, 1));
    const zoneLost = await this.measureZone();
    const restarts = await this.measureRestarts();
    const region = await this.measureRegion();
    const statistics = await this.hollow.statistics();
    return {
      size: this.size,
      zones: SCALE_ZONES.length,
      hollowProcesses: this.hollow.processCount,
      hollowResidentBytes: statistics.reduce((sum, one) => sum + one.residentBytes, 0),
      startMs,
      inForceMs,
      burst,
      node,
      leader,
      detectionMs,
      zoneLost,
      restarts,
      region,
    };
  }

  private async measureSteady(): Promise<Pick<ScaleReport, 'node' | 'leader' | 'inForceMs'>> {
    this.report('changes at the letter’s rate');
    const leaderName = await this.control.leaderOf(INTENTS_GROUP);
    const before = await this.hollow.statistics();
    const meterBefore = await this.control.meter(leaderName);
    const startedAt = monotonicMs();
    const delays: number[] = [];
    for (let change = 0; change < PACED_CHANGES; change += 1) {
      const dueAt = startedAt + change * CHANGE_INTERVAL_MS;
      await sleep(Math.max(0, dueAt - monotonicMs()));
      delays.push(...(await this.changeAndWait()));
    }
    await sleep(Math.max(0, startedAt + STEADY_MS - monotonicMs()));
    const elapsedMs = monotonicMs() - startedAt;
    const meter = growthPerSecond(meterBefore, await this.control.meter(leaderName), elapsedMs);
    const after = await this.hollow.statistics();
    const growth = (read: (one: (typeof after)[number]) => number): number => {
      const sum = (all: typeof after): number => all.reduce((total, one) => total + read(one), 0);
      return (sum(after) - sum(before)) / (elapsedMs / MS_PER_SECOND) / this.size.nodes;
    };
    return {
      node: {
        bytesPerSecond: growth((one) => one.controlBytes),
        cpuShare: growth((one) => one.cpuMs) / MS_PER_SECOND,
        loadPollsPerSecond: growth((one) => one.loadPolls),
      },
      leader: { cpuShare: meter.cpuSeconds, peerBytesPerSecond: meter.peerBytes },
      inForceMs: percentilesOf(delays),
    };
  }

  private async measureBurst(): Promise<ScaleReport['burst']> {
    this.report(`${BURST_CHANGES} changes at once`);
    const startedAt = monotonicMs();
    let revision = 0;
    for (let change = 0; change < BURST_CHANGES; change += 1) revision = await this.change();
    const confirmMs = monotonicMs() - startedAt;
    const acceptedAtMs = Date.now();
    const delays = await this.waitInForce(revision, acceptedAtMs);
    return { changes: BURST_CHANGES, confirmMs, lastInForceMs: percentilesOf(delays) };
  }

  /** From the cut until the control group counts the nodes no longer among the live ones. */
  private async measureDetection(nodes: readonly ScaleNode[]): Promise<number> {
    this.report(`${nodes.length} nodes fall silent`);
    const names = new Set(nodes.map((node) => node.name));
    await this.hollow.command('cut', nodes);
    const startedAt = monotonicMs();
    await this.control.fleet.waitFor(
      'detection',
      async () => {
        const { configuration } = await this.status();
        return !configuration.gateways.some(({ gateway }) => names.has(gateway));
      },
      PATIENCE_MS,
    );
    const detectionMs = monotonicMs() - startedAt;
    await this.hollow.command('heal', nodes);
    return detectionMs;
  }

  private async measureZone(): Promise<ScaleReport['zoneLost']> {
    const zone = this.random.pick(SCALE_ZONES);
    const nodes = this.hollow.nodes.filter((node) => node.zone === zone.name);
    const detectionMs = await this.measureDetection(nodes);
    const backMs = await this.hollow.waitFor('zone back', allHeld, PATIENCE_MS);
    return { nodes: nodes.length, detectionMs, backMs };
  }

  private async measureRestarts(): Promise<ScaleReport['restarts']> {
    this.report(`${RESTARTS} restarts`);
    const startedAt = monotonicMs();
    let slowestBackMs = 0;
    const batches = 20;
    for (let batch = 0; batch < batches; batch += 1) {
      const nodes = Array.from({ length: RESTARTS / batches }, () =>
        this.random.pick(this.hollow.nodes),
      );
      await this.hollow.command('restart', nodes);
      const backMs = await this.hollow.waitFor('restarted', allHeld, PATIENCE_MS);
      slowestBackMs = Math.max(slowestBackMs, backMs);
      const dueAt = startedAt + ((batch + 1) * RESTART_SPAN_MS) / batches;
      await sleep(Math.max(0, dueAt - monotonicMs()));
    }
    return { count: RESTARTS, inMs: monotonicMs() - startedAt, slowestBackMs };
  }

  private async measureRegion(): Promise<ScaleReport['region']> {
    this.report('a region is cut off');
    const nodes = this.hollow.nodes.filter((node) => node.region === 'region-4');
    await this.hollow.command('cut', nodes);
    const startedAt = monotonicMs();
    let revision = 0;
    for (let change = 0; change < CHANGES_WHILE_CUT; change += 1) revision = await this.change();
    await sleep(Math.max(0, startedAt + REGION_CUT_MS - monotonicMs()));
    const cutMs = monotonicMs() - startedAt;
    await this.hollow.command('heal', nodes);
    const isCaughtUp = (states: HollowNodeState[]): boolean =>
      states.every((state) => state.isHeld && state.revision >= revision);
    const caughtUpMs = await this.hollow.waitFor('region caught up', isCaughtUp, PATIENCE_MS);
    return { nodes: nodes.length, cutMs, changesMeanwhile: CHANGES_WHILE_CUT, caughtUpMs };
  }

  /** Declares the whole document. */
  private async declareAll(): Promise<void> {
    const zones = SCALE_ZONES.map((zone) => zone.name);
    const { models, tenants, runners: engines } = this.size;
    const { addressOf } = this;
    const size = { models, tenants, engines, zones, addressOf };
    this.document = createDocument(size);
    await this.control.fleet.applyIntents(this.document);
  }

  /** Declares one engine anew, draining or active again; resolves with the revision. */
  private async change(): Promise<number> {
    const { backends } = this.document;
    const position = this.variant % backends.length;
    this.variant += 1;
    const changed = { ...backends[position]!, state: 'draining' as const };
    const partial = { set: { models: [], tenants: [], backends: [changed] }, remove: NOTHING };
    return (await this.control.fleet.applyIntents(partial)).revision;
  }

  private async changeAndWait(): Promise<number[]> {
    const revision = await this.change();
    return this.waitInForce(revision, Date.now());
  }

  private async waitInForce(revision: number, acceptedAtMs: number): Promise<number[]> {
    const isInForce = (states: HollowNodeState[]): boolean =>
      states.every((state) => state.revision >= revision);
    await this.hollow.waitFor('in force', isInForce, PATIENCE_MS);
    const states = await this.hollow.states();
    return states.map((state) => Math.max(0, state.revisionSinceMs - acceptedAtMs));
  }

  private async status(): Promise<SystemStatus> {
    const { operatorAddress } = this.control.fleet.ofKind('control')[0]!.plan;
    const response = await request(`http://${operatorAddress}/v1/status`, {
      headers: { authorization: `Bearer ${this.control.fleet.plan.operatorKey}` },
    });
    return (await response.body.json()) as SystemStatus;
  }
}

function allHeld(states: HollowNodeState[]): boolean {
  return states.every((state) => state.isHeld && state.revision > 0);
}
