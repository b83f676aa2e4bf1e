/** Measures the cost of calls and of idle groups for the control processes. */
import { monotonicMs, sleep } from '../../src/common/index.js';
import { GroupClient, PeerDirectory } from '../../src/consensus/index.js';
import { JournalClient, createProgramId } from '../../src/journal/index.js';
import { MethodRouter } from '../../src/wire/index.js';
import { ControlFleet, type ResourceCounters, ratesPerSecond } from './control-fleet.js';
import type { Point } from './linear-fit.js';
import { type Slope, type SlopeExperiment, createSlope } from './slope.js';

const CALL_RATES = [100, 200, 400, 800, 1_200];
const GROUP_COUNTS = [8, 32, 64, 128];
const MEASUREMENT_MS = 4_000;
const IDLE_MEASUREMENT_MS = 3_000;
const TICK_MS = 10;
const MS_PER_SECOND = 1_000;
const MODEL = 'model-1';
const TENANT = 'tenant-1';
/** Message and answer of one call; 4 characters per token. */
const MESSAGE_TEXT = 'x'.repeat(4 * 150);
const ANSWER_TEXT = 'y'.repeat(4 * 100);
const COMMAND_TIMEOUT_MS = 5_000;

export const callExperiment: SlopeExperiment = {
  name: 'calls',
  async run(report) {
    const control = await ControlFleet.up(1);
    const driver = 'model calls a second (a program of two calls each)';
    const points: Record<'leader' | 'follower' | 'disk' | 'syncs' | 'network', Point[]> = {
      leader: [],
      follower: [],
      disk: [],
      syncs: [],
      network: [],
    };
    for (const rate of CALL_RATES) {
      report(`${rate} calls a second`);
      const leader = await control.leaderOf('journal-0');
      const follower = control.fleet.ofKind('control').find(({ name }) => name !== leader)!.name;
      const before = await Promise.all(
        [leader, follower].map((name) => control.readCounters(name)),
      );
      const startedAt = monotonicMs();
      const calls = await runCalls(control, rate);
      const elapsedMs = monotonicMs() - startedAt;
      const after = await Promise.all([leader, follower].map((name) => control.readCounters(name)));
      const [leaderRates, followerRates] = before.map((counters, index) =>
        ratesPerSecond(counters, after[index]!, elapsedMs),
      ) as [ResourceCounters, ResourceCounters];
      const x = (calls / elapsedMs) * MS_PER_SECOND;
      points.leader.push({ x, y: leaderRates.cpuSeconds * MS_PER_SECOND });
      points.follower.push({ x, y: followerRates.cpuSeconds * MS_PER_SECOND });
      points.disk.push({ x, y: leaderRates.logBytes });
      points.syncs.push({ x, y: leaderRates.logSyncs });
      points.network.push({ x, y: leaderRates.peerBytes });
    }
    await control.down();
    const cpu = 'processor ms a second';
    return [
      createSlope(
        { name: 'call.leader-cpu', role: 'control leader', driver, quantity: cpu },
        points.leader,
      ),
      createSlope(
        { name: 'call.follower-cpu', role: 'control follower', driver, quantity: cpu },
        points.follower,
      ),
      createSlope(
        { name: 'call.log-bytes', role: 'control member', driver, quantity: 'log bytes a second' },
        points.disk,
      ),
      createSlope(
        {
          name: 'call.log-syncs',
          role: 'control member',
          driver,
          quantity: 'syncs of the log a second',
        },
        points.syncs,
      ),
      createSlope(
        {
          name: 'call.peer-bytes',
          role: 'control leader',
          driver,
          quantity: 'bytes a second on own links',
        },
        points.network,
      ),
    ];
  },
};

export const groupExperiment: SlopeExperiment = {
  name: 'groups',
  async run(report) {
    const cpu: Point[] = [];
    const bytes: Point[] = [];
    for (const groups of GROUP_COUNTS) {
      report(`${groups} groups`);
      const control = await ControlFleet.up(groups);
      const names = control.fleet.ofKind('control').map(({ name }) => name);
      await sleep(MS_PER_SECOND);
      const before = await Promise.all(names.map((name) => control.readCounters(name)));
      const startedAt = monotonicMs();
      await sleep(IDLE_MEASUREMENT_MS);
      const elapsedMs = monotonicMs() - startedAt;
      const after = await Promise.all(names.map((name) => control.readCounters(name)));
      const memberRates = before.map((counters, index) =>
        ratesPerSecond(counters, after[index]!, elapsedMs),
      );
      const mean = (read: (counters: ResourceCounters) => number): number =>
        memberRates.reduce((sum, rates) => sum + read(rates), 0) / memberRates.length;
      cpu.push({ x: groups, y: mean((rates) => rates.cpuSeconds) * MS_PER_SECOND });
      bytes.push({ x: groups, y: mean((rates) => rates.peerBytes) });
      await control.down();
    }
    const driver = 'idle groups on each of three members';
    const createGroupSlope = (name: string, quantity: string, points: Point[]): Slope =>
      createSlope({ name, role: 'control member', driver, quantity }, points);
    return [
      createGroupSlope('group.idle-cpu', 'processor ms a second', cpu),
      createGroupSlope('group.idle-bytes', 'bytes a second on own links', bytes),
    ];
  },
};

/** Opens programs of two calls each at a constant rate; returns the number of calls. */
async function runCalls(control: ControlFleet, ratePerSecond: number): Promise<number> {
  const peers = new PeerDirectory({
    ownName: 'slopes',
    secret: control.secret,
    router: new MethodRouter(),
    resolveAddress: (address) => address,
  });
  const groups = new GroupClient({ peers, addresses: control.controlAddresses });
  const journal = new JournalClient({ groups, groupCount: 1, timeoutMs: COMMAND_TIMEOUT_MS });
  const running: Promise<void>[] = [];
  const programsPerMs = ratePerSecond / 2 / MS_PER_SECOND;
  const startedAt = monotonicMs();
  let startedPrograms = 0;
  while (monotonicMs() - startedAt < MEASUREMENT_MS) {
    const due = Math.floor((monotonicMs() - startedAt) * programsPerMs);
    for (; startedPrograms < due; startedPrograms += 1) running.push(runProgram(journal));
    await sleep(TICK_MS);
  }
  await Promise.all(running);
  peers.close();
  return startedPrograms * 2;
}

async function runProgram(journal: JournalClient): Promise<void> {
  const programId = createProgramId(TENANT, undefined, undefined);
  const base = { programId, tenant: TENANT };
  const limits = { maxCalls: 10, maxDepth: 1, maxRepeatedCalls: 8, idleTimeoutMs: 600_000 };
  const budget = 1_000_000;
  await journal.open({ type: 'open', ...base, model: MODEL, budget, deadlineMs: 600_000, limits });
  for (const sequence of [1, 2]) {
    const request = {
      kind: 'model' as const,
      messages: [{ role: 'user', content: MESSAGE_TEXT }],
      maxOutputTokens: 200,
      isRepeatable: true,
    };
    await journal.begin({
      type: 'begin',
      ...base,
      sequence,
      submission: 1,
      requestHash: `hash-${sequence}`,
      request,
      token: `${programId}-${sequence}`,
      gateway: { id: 'slopes', incarnation: 'one' },
      backend: 'engine-1',
      serviceCost: 0,
    });
    await journal.finish({
      type: 'finish',
      ...base,
      sequence,
      attempt: 1,
      outcome: 'completed',
      answer: ANSWER_TEXT,
      cost: 250,
      finishReason: 'stop',
      backends: [],
    });
  }
  await journal.end({ type: 'end', ...base, reason: 'ended-by-caller' });
}
