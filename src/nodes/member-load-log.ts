/**
 * Logs the load of a busy group member once a second: latency of commands, bytes sent by purpose, processor time
 * and what it is used for. This distinguishes a saturated link, a busy processor, a slow disk and a small window.
 */
import { performance } from 'node:perf_hooks';
import type { ReplicatedGroup, ReplicationTraffic } from '../consensus/index.js';
import type { WriteAheadLog } from '../log-store/index.js';
import type { DurationStats, LogFields, Logger } from '../observability/index.js';
import type { ProcessLoad, ProcessLoadMeter } from './process-load.js';

const INTERVAL_MS = 1_000;
/** Minimum number of commands or batches per second for a line to be logged. */
const MIN_COMMANDS = 20;
const KIB = 1024;

export interface MemberLoadLogOptions {
  group: ReplicatedGroup;
  wal: WriteAheadLog;
  /** Shared by all groups of the process. */
  meter: ProcessLoadMeter;
  logger: Logger;
}

/** Readings of monotonic counters. */
interface CounterReading extends ReplicationTraffic, ProcessLoad {
  refused: number;
  syncs: number;
  logBytes: number;
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
    const { group } = this.options;
    const now = readCounters(this.options);
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
    if (times.commit.count + times.append.count < MIN_COMMANDS) return;
    const fields: LogFields = {
      group: group.name,
      leads: group.isLeader,
      ...describeCommits(times),
      delayMs: Math.round(group.commandDelay.meanMs),
      refused: now.refused - before.refused,
      windowKb: Math.round(group.admission.windowBytes / KIB),
      voterKb: toKib(now.voterEntries - before.voterEntries),
      learnerKb: toKib(now.learnerEntries - before.learnerEntries),
      repeatedKb: toKib(now.repeatedEntries - before.repeatedEntries),
      snapshotKb: toKib(now.snapshots - before.snapshots),
      logKb: toKib(now.logBytes - before.logBytes),
      syncs: now.syncs - before.syncs,
      ...describeLoad(now, before),
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

function describeLoad(now: ProcessLoad, before: ProcessLoad): LogFields {
  return {
    processorMs: Math.round(now.processorMs - before.processorMs),
    reads: now.reads - before.reads,
    received: now.messagesReceived - before.messagesReceived,
    writes: now.writes - before.writes,
    sent: now.messagesSent - before.messagesSent,
    loopTurns: now.loopTurns - before.loopTurns,
    loopEvents: now.loopEvents - before.loopEvents,
    collections: now.collections - before.collections,
    collectionMs: Math.round(now.collectionMs - before.collectionMs),
  };
}

function readCounters({ group, wal, meter }: MemberLoadLogOptions): CounterReading {
  return {
    ...meter.read(),
    ...group.traffic,
    refused: group.admission.refused,
    syncs: wal.counters.syncs,
    logBytes: wal.counters.bytes,
  };
}

function toKib(bytes: number): number {
  return Math.round(bytes / KIB);
}
