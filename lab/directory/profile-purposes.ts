/**
 * Groups the self time in CPU profiles by purpose.
 *
 *     node dist/lab/directory/profile-purposes.js FILE.cpuprofile...
 */
import {
  type CallFrame,
  inheritPurposes,
  readCpuProfile,
  sortedTimes,
  sumSelfTimes,
} from '../cpu-profile.js';

interface Purpose {
  name: string;
  /** Matches `URL function`. */
  pattern: RegExp;
}

/** The first match counts. Time of code without a match counts for its nearest caller with a match. */
const PURPOSES: readonly Purpose[] = [
  { name: 'garbage collection', pattern: /\(garbage collector\)/ },
  { name: 'idle', pattern: /\(idle\)/ },
  {
    name: 'decoding of messages',
    pattern: /msgpackr\S*unpack|FrameDecoder|frame-codec\S* (push|decode)/,
  },
  { name: 'encoding of messages', pattern: /msgpackr\S*pack\.js|frame-codec\S* encode/ },
  { name: 'lists of back ends', pattern: /directory-leader\S* (backendsView|get backendsVersion)/ },
  { name: 'silence of back ends', pattern: /heartbeat-table|directory-leader\S* refreshSilent/ },
  { name: 'state machine', pattern: /directory-state-machine/ },
  {
    name: "cluster's view",
    pattern: /directory-leader\S* (tellClusterNews|clusterView)|node-roster/,
  },
  {
    name: 'answers to watchers',
    pattern: /directory-leader\S* \S|load-board|gateway-confirmations|answer-turns/,
  },
  { name: 'heartbeats: HTTP', pattern: /node:_?http|node:internal\/(http|streams)|control-host/ },
  {
    name: 'heartbeats passed on',
    pattern: /group-client|open-tries|leader-calls|directory-client/,
  },
  { name: 'log and replication', pattern: /log-store|src\/consensus/ },
  { name: 'writing of logs', pattern: /observability|loglevel/ },
  { name: 'limits of tenants', pattern: /src\/quotas/ },
  { name: 'connections', pattern: /src\/wire|node:net|stream_base|writev|node:events/ },
  { name: 'timers and promises', pattern: /node:internal\/(timers|process)|signal-event|deferred/ },
];
const OTHER = 'other';

function purposeOf({ functionName, url }: CallFrame): string | undefined {
  const text = `${url} ${functionName}`;
  return PURPOSES.find(({ pattern }) => pattern.test(text))?.name;
}

function printTimes(title: string, times: readonly [string, number][], total: number): void {
  console.log(`\n${title}\n`);
  for (const [name, milliseconds] of times) {
    const share = ((100 * milliseconds) / total).toFixed(1).padStart(5);
    console.log(`${share} %  ${milliseconds.toFixed(0).padStart(7)} ms  ${name}`);
  }
}

const MAX_FUNCTIONS = 25;

for (const file of process.argv.slice(2)) {
  const profile = readCpuProfile(file);
  const purposes = inheritPurposes(profile.nodes, purposeOf, OTHER);
  const frames = new Map(profile.nodes.map(({ id, callFrame }) => [id, callFrame]));
  const isBusy = ([name]: [string, number]): boolean => !/idle\)?$/.test(name);
  const byPurpose = sortedTimes(sumSelfTimes(profile, (id) => purposes.get(id)!)).filter(isBusy);
  const functionTimes = sumSelfTimes(profile, (id) => {
    const { url, functionName } = frames.get(id)!;
    return `${url.split('/').slice(-2).join('/')} ${functionName}`;
  });
  const byFunction = sortedTimes(functionTimes).filter(isBusy);
  const total = byPurpose.reduce((sum, [, milliseconds]) => sum + milliseconds, 0);
  printTimes(`${file}: self time by purpose`, byPurpose, total);
  printTimes('by function', byFunction.slice(0, MAX_FUNCTIONS), total);
}
