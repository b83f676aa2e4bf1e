/**
 * Logs once a second what a busy member of a group does: where commands wait, which bytes leave it and
 * for what, and how much processor time it takes. It tells a full link from a busy processor, a slow
 * disk and a window that is too narrow.
 */
import { performance } from 'node:perf_hooks';
import type { ReplicatedGroup, ReplicationTraffic } from '../consensus/index.js';
import type { WriteAheadLog } from '../log-store/index.js';
import type { DurationStats, LogFields, Logger } from '../observability/index.js';

const INTERVAL_MS = 1_000;
/** Commands or batches in a second below which a line says nothing of a load. */
const LEAST_COMMANDS = 20;
const KIB = 1024;

export interface MemberLoadLogOptions {
  findGroup: () => ReplicatedGroup | undefined;
  wal: WriteAheadLog;
  logger: Logger;
}

/** Counters that only grow, at one moment. */
interface CounterReading extends ReplicationTraffic {
  refused: number;
  syncs: number;
  logBytes: number;
  processorMs: number;
}

export class MemberLoadLog {
  private readonly timer: NodeJS.Timeout;
  private before: CounterReading | undefined;
  private loopBefore = performance.eventLoopUtilization();

  constructor(private readonly options: MemberLoadLogOptions) {
    this.timer = setInterval(() => this.report(), INTERVAL_MS);
    this.timer.unref();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private report(): void {
    const group = this.options.findGroup();
    if (!group) return;
    const now = readCounters(group, this.options.wal);
    const before = this.before ?? now;
    this.before = now;
    const times = {
      gate: group.times.gate.readAndReset(),
      ownSync: group.times.ownSync.readAndReset(),
      commit: group.times.commit.readAndReset(),
      append: group.times.append.readAndReset(),
    };
    const loop = performance.eventLoopUtilization(this.loopBefore);
    this.loopBefore = performance.eventLoopUtilization();
    if (times.commit.count + times.append.count < LEAST_COMMANDS) return;
    const fields: LogFields = {
      leads: group.isLeader,
      ...describeCommits(times),
      refused: now.refused - before.refused,
      windowKb: Math.round(group.admission.windowBytes / KIB),
      voterKb: toKib(now.voterEntries - before.voterEntries),
      learnerKb: toKib(now.learnerEntries - before.learnerEntries),
      repeatedKb: toKib(now.repeatedEntries - before.repeatedEntries),
      snapshotKb: toKib(now.snapshots - before.snapshots),
      logKb: toKib(now.logBytes - before.logBytes),
      syncs: now.syncs - before.syncs,
      processorMs: Math.round(now.processorMs - before.processorMs),
      loopBusy: Number(loop.utilization.toFixed(2)),
    };
    this.options.logger.info('member load', fields);
  }
}

type ReadTimes = Record<keyof ReplicatedGroup['times'], DurationStats>;

function describeCommits({ gate, ownSync, commit, append }: ReadTimes): LogFields {
  return {
    commands: commit.count,
    gateMs: gate.meanMs,
    gateMaxMs: gate.maxMs,
    ownSyncMs: ownSync.meanMs,
    commitMs: commit.meanMs,
    commitMaxMs: commit.maxMs,
    appends: append.count,
    appendMs: append.meanMs,
    appendMaxMs: append.maxMs,
  };
}

function readCounters(group: ReplicatedGroup, wal: WriteAheadLog): CounterReading {
  const { user, system } = process.cpuUsage();
  return {
    ...group.traffic,
    refused: group.admission.refused,
    syncs: wal.counters.syncs,
    logBytes: wal.counters.bytes,
    processorMs: (user + system) / 1_000,
  };
}

function toKib(bytes: number): number {
  return Math.round(bytes / KIB);
}
