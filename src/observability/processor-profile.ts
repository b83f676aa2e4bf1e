/**
 * Samples the functions of this process and logs every few seconds how much processor time each purpose took. Sampling
 * takes processor time itself, so it runs only on request (`--profile`).
 */
import { describeError } from '../common/index.js';
import { type CpuProfile, inheritPurposes, sortedTimes, sumSelfTimes } from './cpu-profile.js';
import type { LogFields, Logger } from './logger.js';

/** Period of a log line, in milliseconds. */
const REPORT_INTERVAL_MS = 5_000;
/** Period of the samples, in microseconds. */
const SAMPLE_INTERVAL_US = 1_000;
/** Number of functions with the most time of their own that a line lists. */
const MAX_FUNCTIONS = 30;

/** Milliseconds by name, most first. */
export interface ProfileSummary {
  byPurpose: [string, number][];
  byFunction: [string, number][];
}

const OTHER = 'other';
const IDLE = '(idle)';

/**
 * Purposes by function name: a bundled program is one file, so that files tell nothing. Functions without a purpose count for their nearest caller with one. V8 accounts for time in
 * system calls and in its own code outside functions as `(program)`.
 */
const PURPOSES: ReadonlyMap<string, string> = new Map(
  Object.entries({
    [IDLE]: [IDLE],
    native: ['(program)'],
    collections: ['(garbage collector)'],
    decode: ['unpack', 'read', 'readMap', 'push', 'decodeValue'],
    encode: ['pack', 'encodeFrame', 'encodeValue'],
    write: ['writeBuffer', 'writev', 'writeGeneric', 'uncork', 'doWrite'],
    serve: ['respond', 'runHandler', 'reserve', 'settle', 'settleAndKeep'],
    log: ['append', 'appendAsLeader', 'runWriter', 'writeBatch', 'encodeLogRecord', 'encodeRecord'],
    replicate: ['sendEntries', 'sendNext', 'callAppend', 'processResponse', 'onFollowerProgress'],
    heartbeats: ['tick', 'sendHeartbeats', 'takeHeartbeatResponse'],
    apply: ['applyBatch', 'apply', 'makeSnapshotIfDue', 'saveSnapshot', 'deleteUnneeded'],
    values: ['storeValues', 'storeCopy', 'writeValues', 'sendCopies'],
    timers: ['processTimers', 'listOnTimeout', 'processImmediate'],
    load: ['compileFunction', 'moduleEvaluation', 'evaluate', 'instantiate'],
  }).flatMap(([purpose, names]) => names.map((name): [string, string] => [name, purpose])),
);

/** Sums the time of samples by purpose and by function; idle time does not count. */
export function summarizeProfile(profile: CpuProfile): ProfileSummary {
  const purposes = inheritPurposes(
    profile.nodes,
    ({ functionName }) => PURPOSES.get(functionName),
    OTHER,
  );
  const names = new Map(profile.nodes.map(({ id, callFrame }) => [id, callFrame.functionName]));
  const busyTimes = (nameOf: (id: number) => string): [string, number][] =>
    sortedTimes(sumSelfTimes(profile, nameOf)).filter(([name]) => name !== IDLE);
  return {
    byPurpose: busyTimes((id) => purposes.get(id)!),
    byFunction: busyTimes((id) => names.get(id) || '(anonymous)'),
  };
}

/** Starts sampling. It ends with the process. */
export async function startProcessorProfile(logger: Logger): Promise<void> {
  // Loaded on request only, because loading it makes each start slower.
  const { Session } = await import('node:inspector/promises');
  const session = new Session();
  session.connect();
  await session.post('Profiler.enable');
  await session.post('Profiler.setSamplingInterval', { interval: SAMPLE_INTERVAL_US });
  await session.post('Profiler.start');
  const report = async (): Promise<void> => {
    const { profile } = await session.post('Profiler.stop');
    await session.post('Profiler.start');
    const { samples = [], timeDeltas = [], nodes } = profile;
    logger.info('processor profile', describe(summarizeProfile({ nodes, samples, timeDeltas })));
  };
  const onError = (error: unknown): void =>
    logger.warn('processor not profiled', { reason: describeError(error) });
  setInterval(() => void report().catch(onError), REPORT_INTERVAL_MS).unref();
}

function describe({ byPurpose, byFunction }: ProfileSummary): LogFields {
  return {
    purposes: format(byPurpose),
    functions: format(byFunction.slice(0, MAX_FUNCTIONS)),
  };
}

function format(times: readonly [string, number][]): string {
  return times.map(([name, ms]) => `${name}=${Math.round(ms)}`).join(' ');
}
