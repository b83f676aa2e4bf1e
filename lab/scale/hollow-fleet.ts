/** Hollow nodes and runners, spread over processes by zone, before a real control group. */
import { LedgegaugeError, monotonicMs, sleep } from '../../src/common/index.js';
import type { HollowNodeState, HollowStatistics } from '../hollow/hollow-messages.js';
import { HollowProcess } from '../hollow/hollow-process.js';
import type { ControlFleet } from '../slopes/control-fleet.js';
import { engineName, engineZone } from '../slopes/large-document.js';
import { SCALE_ZONES, type ScaleNode, type ScaleSize, planNodes } from './scale-topology.js';

const PROCESSES = 8;
const RENEW_INTERVAL_MS = 400;
/** Each model has about 22 runners in a zone at the letter's size; a node follows this many. */
const ENGINE_SUBSET = 8;
const MAX_LOAD_POLLS = 8;
const MAX_LOAD_AGE_MS = 1_000;
const POLL_MS = 50;

export class HollowFleet {
  readonly nodes: readonly ScaleNode[];
  private readonly processes: HollowProcess[] = [];
  private readonly processOf = new Map<string, HollowProcess>();

  constructor(
    private readonly control: ControlFleet,
    private readonly size: ScaleSize,
  ) {
    this.nodes = planNodes(size.nodes);
  }

  get processCount(): number {
    return this.processes.length;
  }

  /** Starts the processes; resolves with where each runner answers. */
  async listen(): Promise<(runner: number) => string> {
    for (let index = 0; index < PROCESSES; index += 1) this.processes.push(new HollowProcess());
    const addresses = await Promise.all(this.processes.map((process) => process.listen()));
    const zoneNames = SCALE_ZONES.map((zone) => zone.name);
    return (runner) => {
      const zone = engineZone(runner, zoneNames);
      return addresses[zoneNames.indexOf(zone) % PROCESSES]!;
    };
  }

  async start(): Promise<void> {
    const zoneNames = SCALE_ZONES.map((zone) => zone.name);
    for (const [index, process] of this.processes.entries()) {
      const isOwn = (zone: string): boolean => zoneNames.indexOf(zone) % PROCESSES === index;
      const nodes = this.nodes.filter((node) => isOwn(node.zone));
      const runners = Array.from({ length: this.size.runners }, (_, runner) => runner)
        .filter((runner) => isOwn(engineZone(runner, zoneNames)))
        .map(engineName);
      for (const node of nodes) this.processOf.set(node.name, process);
      await process.send({
        type: 'start',
        nodes: nodes.map(({ name, zone }) => ({ name, zone })),
        runners,
        settings: {
          secret: this.control.secret,
          controlAddresses: this.control.controlAddresses,
          renewIntervalMs: RENEW_INTERVAL_MS,
          engineSubset: ENGINE_SUBSET,
          maxLoadPolls: MAX_LOAD_POLLS,
          maxLoadAgeMs: MAX_LOAD_AGE_MS,
        },
        sharesDocuments: true,
      });
    }
  }

  statistics(): Promise<HollowStatistics[]> {
    return Promise.all(this.processes.map((process) => process.statistics()));
  }

  async states(): Promise<HollowNodeState[]> {
    const states = await Promise.all(this.processes.map((process) => process.states()));
    return states.flat();
  }

  /** Resolves with the time it took until `condition` held, in milliseconds. */
  async waitFor(
    step: string,
    condition: (states: HollowNodeState[]) => boolean,
    patienceMs: number,
  ): Promise<number> {
    const startedAt = monotonicMs();
    while (!condition(await this.states())) {
      if (monotonicMs() - startedAt > patienceMs) {
        throw new LedgegaugeError('not in time', { step });
      }
      await sleep(POLL_MS);
    }
    return monotonicMs() - startedAt;
  }

  async command(type: 'cut' | 'heal' | 'restart', nodes: readonly ScaleNode[]): Promise<void> {
    const byProcess = new Map<HollowProcess, string[]>();
    for (const { name } of nodes) {
      const process = this.processOf.get(name)!;
      byProcess.set(process, [...(byProcess.get(process) ?? []), name]);
    }
    await Promise.all(
      [...byProcess].map(([process, names]) => process.send({ type, nodes: names })),
    );
  }

  async stop(): Promise<void> {
    await Promise.all(this.processes.map((process) => process.stop()));
  }
}
