/** Runs one seed: load, probes and operators on a fleet during faults, then checks the history. */
import { SeededRandom, describeError, monotonicMs, sleep } from '../../src/common/index.js';
import type { Fleet } from '../fleet/fleet.js';
import { type CheckResult, checkHistory } from './checker/index.js';
import { waitUntilFullyReplicated } from '../fleet/cluster-status.js';
import type { TortureHistory } from './history.js';
import { HistoryRecorder } from './history-recorder.js';
import { observeEngineMemory } from './engine-memory.js';
import { OperatorSimulator } from './operator-simulator.js';
import { AvailabilityProbe } from './probes/availability-probe.js';
import { CallerProbes } from './probes/caller-probes.js';
import { runFinalReads } from './probes/final-reads.js';
import { RawGatewayClient } from './probes/raw-gateway-client.js';
import { ProcessLocks } from './process-locks.js';
import type { RecordReader } from './record-reader.js';
import { RevisionWatcher } from './revision-watcher.js';
import { type Schedule, type ScheduledFault } from './schedule.js';
import { TortureLoad } from './torture-load.js';

/** Longer than the drain limit, so that requests to a drained engine after it are detected. */
const MIN_LOAD_DURATION_MS = 4_800;
const DRAIN_OBSERVATION_MS = 3_800;
const REPLICATION_TIMEOUT_MS = 30_000;
/** Time after the end of a fault in which waits of callers are still attributed to it. */
const AFTEREFFECT_MS = 1_500;

export interface SeedResult {
  seed: number;
  faults: string[];
  check: CheckResult;
  history: TortureHistory;
  /** Why the result is inconclusive; undefined if it is conclusive. */
  inconclusive?: string;
  /** Longest wait of a caller if the seed had a single fault, in milliseconds. */
  unavailableMs?: number;
  /** Times from acceptance until in effect at all reachable gateways, in milliseconds. */
  inForceMs: number[];
}

interface FaultSpan {
  startedAtMs: number;
  endedAtMs: number;
}

export class SeedRun {
  private readonly recorder: HistoryRecorder;
  private readonly random: SeededRandom;
  private readonly gateways: RawGatewayClient;
  private readonly watcher: RevisionWatcher;
  private readonly operators: OperatorSimulator;
  private readonly availability: AvailabilityProbe;
  private readonly locks = new ProcessLocks();
  private readonly faultSpans: FaultSpan[] = [];
  private startedAtMs = 0;
  private inconclusive: string | undefined;

  constructor(
    private readonly fleet: Fleet,
    private readonly recordReader: RecordReader,
    private readonly seed: number,
    private readonly schedule: Schedule,
  ) {
    this.recorder = new HistoryRecorder(seed);
    this.random = new SeededRandom(seed).fork();
    this.gateways = new RawGatewayClient(fleet);
    this.watcher = new RevisionWatcher(fleet, this.recorder);
    this.availability = new AvailabilityProbe(fleet);
    const { random, recorder, watcher } = this;
    this.operators = new OperatorSimulator({ fleet, random: random.fork(), recorder, watcher });
  }

  async run(): Promise<SeedResult> {
    this.recordReader.readInto(undefined);
    await this.runUnderLoad();
    await this.waitForRecovery();
    await this.operators.activateAll();
    const history = this.recorder.complete();
    const endedPrograms = history.programs.filter(
      (program) => program.isEnded && program.id !== '',
    );
    const endedIds = new Set(endedPrograms.map((program) => program.id));
    history.memory.push(...(await observeEngineMemory(this.fleet, endedIds)));
    const { fleet, gateways, random } = this;
    await runFinalReads({ fleet, gateways, random, history });
    await this.operators.recordFinalRevisions();
    await this.gateways.close();
    this.recordReader.readInto(history);
    return this.result(history);
  }

  private async runUnderLoad(): Promise<void> {
    const { fleet, recorder, seed, gateways, schedule } = this;
    const stopProbes = new AbortController();
    const { signal } = stopProbes;
    const load = new TortureLoad(fleet, recorder, seed);
    const callers = new CallerProbes({ fleet, gateways, recorder, seed, signal });
    this.startedAtMs = monotonicMs();
    load.start();
    this.watcher.start();
    this.availability.start();
    const probing = callers.run();
    const injections = [...schedule.faults, schedule.plannedStop].map((event) =>
      this.inject(event),
    );
    await Promise.all([...injections, this.drainEngine(), sleep(MIN_LOAD_DURATION_MS)]);
    await this.restoreProcesses();
    await load.stop();
    stopProbes.abort();
    await probing;
    await this.availability.stop();
    await this.watcher.stop();
  }

  private async inject({ fault, atMs, seed }: ScheduledFault): Promise<void> {
    await this.sleepUntil(atMs);
    const span = { startedAtMs: monotonicMs(), endedAtMs: 0 };
    try {
      const { fleet, recorder, locks } = this;
      await fault.run({ fleet, recorder, locks, random: new SeededRandom(seed) });
    } catch (error) {
      this.inconclusive ??= `${fault.name}: ${describeError(error)}`;
    }
    span.endedAtMs = monotonicMs();
    if (this.schedule.faults.some((scheduled) => scheduled.fault === fault))
      this.faultSpans.push(span);
  }

  /** Operators confirm concurrently; the engine that the accepted plan drains is observed. */
  private async drainEngine(): Promise<void> {
    await this.sleepUntil(this.schedule.operatorsAtMs);
    const drained = await this.operators.confirmConcurrently();
    if (!drained) return;
    await sleep(DRAIN_OBSERVATION_MS - (Date.now() - drained.acceptedAtMs));
    this.recorder.history.leavings.push({ ...drained, untilMs: Date.now() });
  }

  /** Clears link faults, resumes suspended processes and starts those that are not running. */
  private async restoreProcesses(): Promise<void> {
    await this.fleet.clearFaults();
    for (const process of this.fleet.processes.values()) {
      process.signal('SIGCONT');
      if (!process.isRunning) await process.start();
    }
  }

  private async waitForRecovery(): Promise<void> {
    try {
      await this.restoreProcesses();
      await this.fleet.waitUntilGatewaysReady();
      await waitUntilFullyReplicated(this.fleet, REPLICATION_TIMEOUT_MS);
    } catch (error) {
      this.inconclusive ??= `cluster did not recover: ${describeError(error)}`;
    }
  }

  private sleepUntil(atMs: number): Promise<void> {
    return sleep(Math.max(0, this.startedAtMs + atMs - monotonicMs()));
  }

  private result(history: TortureHistory): SeedResult {
    const { seed, schedule, faultSpans, inconclusive } = this;
    const [only, ...others] = faultSpans;
    const isSingle = only !== undefined && others.length === 0;
    return {
      seed,
      faults: schedule.faults.map((scheduled) => scheduled.fault.name),
      check: checkHistory(history),
      history,
      inconclusive,
      unavailableMs: isSingle
        ? this.availability.longestWait(only.startedAtMs, only.endedAtMs + AFTEREFFECT_MS)
        : undefined,
      inForceMs: history.inForce.flatMap(({ afterMs }) => (afterMs === undefined ? [] : [afterMs])),
    };
  }
}
