/**
 * Samples the functions of this process and logs every few seconds how much processor time each purpose took. Sampling
 * takes processor time itself, so it runs only on request (`--profile`).
 */
import type { LogFields, Logger } from './logger.js';

/** Period of a log line, in milliseconds. */
const REPORT_INTERVAL_MS = 5_000;
/** Period of the samples, in microseconds. */
const SAMPLE_INTERVAL_US = 1_000;
/** Number of functions with the most time of their own that a line lists. */
const MAX_FUNCTIONS = 30;
const MICROSECONDS_PER_MS = 1_000;

/** A node of a profile's call tree, as defined by the inspector protocol. */
interface ProfileNode {
  id: number;
  callFrame: { functionName: string };
  /** Ids of the called functions' nodes. */
  children?: number[];
}

/** A profile, as defined by the inspector protocol. */
export interface SampledProfile {
  nodes: ProfileNode[];
  /** Ids of the sampled nodes. */
  samples: number[];
  /** Time since the previous sample, or since the start of the profile, in microseconds. */
  timeDeltas: number[];
}

/** Milliseconds by name, most first. */
export type TimesByName = Map<string, number>;

export interface ProfileSummary {
  byPurpose: TimesByName;
  byFunction: TimesByName;
}

const OTHER = 'other';

/**
 * Purposes by function name. Functions without a purpose count for their nearest caller with one. V8 accounts for time in
 * system calls and in its own code outside functions as `(program)`.
 */
const PURPOSES: ReadonlyMap<string, string> = new Map(
  Object.entries({
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
export function summarizeProfile({ nodes, samples, timeDeltas }: SampledProfile): ProfileSummary {
  const byId = new Map(nodes.map((node) => [node.id, node]));
  const purposes = purposesOf(nodes, byId);
  const byPurpose: TimesByName = new Map();
  const byFunction: TimesByName = new Map();
  samples.forEach((id, index) => {
    const name = byId.get(id)!.callFrame.functionName || '(anonymous)';
    if (name === '(idle)') return;
    // A sample's function counts until the next sample is taken.
    const ms = (timeDeltas[index + 1] ?? 0) / MICROSECONDS_PER_MS;
    add(byPurpose, purposes.get(id) ?? OTHER, ms);
    add(byFunction, name, ms);
  });
  return { byPurpose: sorted(byPurpose), byFunction: sorted(byFunction) };
}

function purposesOf(
  nodes: readonly ProfileNode[],
  byId: ReadonlyMap<number, ProfileNode>,
): Map<number, string> {
  const purposes = new Map<number, string>();
  const pending: [ProfileNode, string][] = nodes[0] ? [[nodes[0], OTHER]] : [];
  for (let next = pending.pop(); next; next = pending.pop()) {
    const [{ id, callFrame, children }, inherited] = next;
    const purpose = PURPOSES.get(callFrame.functionName) ?? inherited;
    purposes.set(id, purpose);
    for (const child of children ?? []) pending.push([byId.get(child)!, purpose]);
  }
  return purposes;
}

function add(times: TimesByName, name: string, ms: number): void {
  times.set(name, (times.get(name) ?? 0) + ms);
}

function sorted(times: TimesByName): TimesByName {
  return new Map([...times].sort(([, left], [, right]) => right - left));
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
  setInterval(() => void report(), REPORT_INTERVAL_MS).unref();
}

function describe({ byPurpose, byFunction }: ProfileSummary): LogFields {
  return {
    purposes: format(byPurpose),
    functions: format(new Map([...byFunction].slice(0, MAX_FUNCTIONS))),
  };
}

function format(times: TimesByName): string {
  return [...times].map(([name, ms]) => `${name}=${Math.round(ms)}`).join(' ');
}
