/**
 * Measures the cost of the directory by fleet size: three real control processes, the directory watchers of many
 * gateways in two processes, and simulated backends that send heartbeats over HTTP.
 *
 *     node dist/lab/directory/main.js GATEWAYS/BACKENDS...
 *
 * For example `24/300 80/1000 240/3000`. Prints a Markdown table. Environment variables, with their defaults:
 *
 * - STEADY: duration of the steady phase in milliseconds (10000)
 * - CALLS: running calls per gateway, at backends sampled anew for each load report (0)
 * - FLAGS: Node flags of the control processes, for example `--cpu-prof --cpu-prof-dir=DIR` (none)
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { monotonicMs, sleep } from '../../src/common/index.js';
import { GroupClient, PeerDirectory } from '../../src/consensus/index.js';
import { DirectoryClient } from '../../src/directory/index.js';
import { MethodRouter } from '../../src/wire/index.js';
import { PortAllocator } from '../fleet/ports.js';
import { HostProcess } from '../host-process.js';
import type { ControlHostSettings, ControlHostUsage } from './control-host.js';
import { SimulatedBackends } from './simulated-backends.js';
import type { ProcessUsage } from './process-usage.js';
import { sampleRoutes } from './sample-routes.js';
import type { WatcherHostSettings } from './watcher-host.js';

const CONTROL_HOST = fileURLToPath(new URL('control-host.js', import.meta.url));
const WATCHER_HOST = fileURLToPath(new URL('watcher-host.js', import.meta.url));
const CONTROL_COUNT = 3;
const WATCHER_HOST_COUNT = 2;
const SECRET = 'measurement';
const HEARTBEAT_INTERVAL_MS = 1_200;
const STEADY_MS = Number(process.env.STEADY ?? 10_000);
const CALLS_PER_GATEWAY = Number(process.env.CALLS ?? 0);
const SETTLE_MS = 3_000;
/** How long to wait until all watchers have received all backends. */
const REGISTRATION_TIMEOUT_MS = 60_000;
const RESTART_COUNT = 20;
const CHANGE_INTERVAL_MS = 250;
const CONFIGURATION_CHANGE_COUNT = 5;

interface Size {
  gateways: number;
  backends: number;
}

interface Fleet {
  size: Size;
  controls: HostProcess[];
  watchers: HostProcess[];
  backends: SimulatedBackends;
  directory: DirectoryClient;
  peers: PeerDirectory;
}

/** Resource usage before and after one phase. */
interface PhaseStats {
  seconds: number;
  before: ControlHostUsage[];
  after: ControlHostUsage[];
  watchersBefore: ProcessUsage[];
  watchersAfter: ProcessUsage[];
  backends: SimulatedBackends;
}

async function startControls(folder: string, internal: string[], heartbeat: string[]) {
  const flags = process.env.FLAGS?.split(' ') ?? [];
  return Promise.all(
    internal.map((internalAddress, index) => {
      const node = {
        name: `control-${index}`,
        zone: `zone-${index}`,
        internalAddress,
        controlSeeds: internal,
        isFirstStart: true,
        dataFolder: join(folder, `control-${index}`),
        toleratedLosses: 1,
        heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
        secret: SECRET,
      };
      const settings = { node, registrationAddress: heartbeat[index]! };
      return HostProcess.start<ControlHostSettings>(CONTROL_HOST, settings, flags);
    }),
  );
}

function startWatchers(addresses: string[], gateways: number): Promise<HostProcess[]> {
  const names = Array.from({ length: gateways }, (_, number) => `gateway-${number}`);
  const namesByHost = Array.from({ length: WATCHER_HOST_COUNT }, (_, host) =>
    names.filter((_name, number) => number % WATCHER_HOST_COUNT === host),
  );
  return Promise.all(
    namesByHost.map((hostNames) => {
      const settings = {
        addresses,
        secret: SECRET,
        names: hostNames,
        callsUnderWay: CALLS_PER_GATEWAY,
      };
      return HostProcess.start<WatcherHostSettings>(WATCHER_HOST, settings, []);
    }),
  );
}

async function startFleet(size: Size, folder: string, ports: number[]): Promise<Fleet> {
  const addresses = ports.map((port) => `127.0.0.1:${port}`);
  const internal = addresses.slice(0, CONTROL_COUNT);
  const heartbeat = addresses.slice(CONTROL_COUNT);
  const controls = await startControls(folder, internal, heartbeat);
  const peers = new PeerDirectory({
    ownName: 'operator',
    secret: SECRET,
    router: new MethodRouter(),
    resolveAddress: (address) => address,
  });
  const directory = new DirectoryClient(new GroupClient({ peers, addresses: internal }));
  await putConfigurationWithRetries(directory, 1);
  const watchers = await startWatchers(internal, size.gateways);
  const backends = new SimulatedBackends({
    count: size.backends,
    addresses: heartbeat,
    intervalMs: HEARTBEAT_INTERVAL_MS,
  });
  return { size, controls, watchers, backends, directory, peers };
}

async function putConfigurationWithRetries(
  directory: DirectoryClient,
  generation: number,
): Promise<void> {
  for (;;) {
    try {
      await directory.putConfiguration(sampleRoutes(generation), `${generation}`);
      return;
    } catch (error) {
      console.error(`configuration ${generation} was not accepted, retrying: ${String(error)}`);
    }
  }
}

async function measurePhase(fleet: Fleet, work: () => Promise<unknown>): Promise<PhaseStats> {
  const { controls, watchers, backends } = fleet;
  const readControls = (): Promise<ControlHostUsage[]> =>
    Promise.all(controls.map((control) => control.request<ControlHostUsage>('usage')));
  const readWatchers = (): Promise<ProcessUsage[]> =>
    Promise.all(watchers.map((watcher) => watcher.request<ProcessUsage>('usage')));
  backends.readAndResetCounts();
  const watchersBefore = await readWatchers();
  const before = await readControls();
  const startedAt = monotonicMs();
  await work();
  const seconds = (monotonicMs() - startedAt) / 1_000;
  const after = await readControls();
  const watchersAfter = await readWatchers();
  return { seconds, before, after, watchersBefore, watchersAfter, backends };
}

/** Sends a command that completes when all watchers have a state; returns the duration in milliseconds. */
async function timeUntilObserved({ watchers }: Fleet, command: string): Promise<number> {
  const startedAt = monotonicMs();
  await Promise.all(watchers.map((watcher) => watcher.request<boolean>(command)));
  return monotonicMs() - startedAt;
}

/** Returns for each change the time until it is in effect at all watchers, in milliseconds. */
async function changeConfigurations(fleet: Fleet): Promise<number[]> {
  const times: number[] = [];
  for (let change = 0; change < CONFIGURATION_CHANGE_COUNT; change += 1) {
    const generation = 2 + change;
    void putConfigurationWithRetries(fleet.directory, generation);
    times.push(await timeUntilObserved(fleet, `configuration ${generation}`));
    await sleep(CHANGE_INTERVAL_MS);
  }
  return times;
}

async function restartBackends({ backends }: Fleet): Promise<void> {
  for (let number = 0; number < RESTART_COUNT; number += 1) {
    void backends.restart(number);
    await sleep(CHANGE_INTERVAL_MS);
  }
}

/** Index of the leader; without a leader at the end, index of the process that used the most processor time. */
function findLeaderIndex(before: ControlHostUsage[], after: ControlHostUsage[]): number {
  const leader = after.findIndex(({ leads }) => leads);
  if (leader >= 0) return leader;
  const usedMs = after.map(({ processorMs }, index) => processorMs - before[index]!.processorMs);
  return usedMs.indexOf(Math.max(...usedMs));
}

function totalProcessorMs(usages: ProcessUsage[]): number {
  return usages.reduce((sum, { processorMs }) => sum + processorMs, 0);
}

function highestTerm(usages: ControlHostUsage[]): number {
  return Math.max(...usages.map(({ term }) => term));
}

function printPhase({ size }: Fleet, phase: string, stats: PhaseStats, note: string): void {
  const { seconds, before, after, watchersBefore, watchersAfter, backends } = stats;
  const leader = findLeaderIndex(before, after);
  const processorPercent = (index: number): string =>
    ((after[index]!.processorMs - before[index]!.processorMs) / seconds / 10).toFixed(1);
  const followers = after.map((_, index) => index).filter((index) => index !== leader);
  const writtenBytes = after[leader]!.writtenBytes - before[leader]!.writtenBytes;
  const { lateMs, worstLateMs } = after[leader]!;
  const watcherLateMs = Math.max(...watchersAfter.map((watcher) => watcher.worstLateMs));
  const gatewayMs =
    (totalProcessorMs(watchersAfter) - totalProcessorMs(watchersBefore)) / size.gateways;
  const { acknowledged, failed } = backends.readAndResetCounts();
  const cells = [
    `${size.gateways}/${size.backends}`,
    phase,
    seconds.toFixed(1),
    processorPercent(leader),
    followers.map(processorPercent).join(' / '),
    (gatewayMs / seconds / 10).toFixed(2),
    (writtenBytes / seconds / 1_000).toFixed(0),
    `${lateMs.toFixed(0)} / ${worstLateMs.toFixed(0)}`,
    watcherLateMs.toFixed(0),
    `${(acknowledged / seconds).toFixed(0)} / ${(failed / seconds).toFixed(0)}`,
    `${highestTerm(after) - highestTerm(before)}`,
    note,
  ];
  console.log(`| ${cells.join(' | ')} |`);
}

async function measure(size: Size): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'ledgegauge-directory-'));
  const allocator = new PortAllocator();
  const fleet = await startFleet(size, folder, await allocator.allocate(2 * CONTROL_COUNT));
  await timeUntilObserved(fleet, 'configuration 1');
  await sleep(SETTLE_MS);

  let note = '';
  const registration = await measurePhase(fleet, async () => {
    fleet.backends.start();
    const registrationMs = await Promise.race([
      timeUntilObserved(fleet, `backends ${size.backends}`),
      sleep(REGISTRATION_TIMEOUT_MS).then(() => undefined),
    ]);
    note =
      registrationMs === undefined
        ? 'not all held'
        : `all held after ${(registrationMs / 1_000).toFixed(1)} s`;
  });
  printPhase(fleet, 'registration', registration, note);
  if (note !== 'not all held') await measureAfterRegistration(fleet);

  fleet.backends.stop();
  await Promise.all([...fleet.controls, ...fleet.watchers].map((host) => host.stop()));
  fleet.peers.close();
  await allocator.release();
  await rm(folder, { recursive: true, force: true });
}

async function measureAfterRegistration(fleet: Fleet): Promise<void> {
  await sleep(SETTLE_MS);
  printPhase(fleet, 'steady', await measurePhase(fleet, () => sleep(STEADY_MS)), '');
  const restarts = await measurePhase(fleet, () => restartBackends(fleet));
  printPhase(fleet, 'restarts', restarts, `${RESTART_COUNT} back ends start again`);
  let times: number[] = [];
  const changes = await measurePhase(fleet, async () => {
    times = await changeConfigurations(fleet);
  });
  const delays = times.map((milliseconds) => milliseconds.toFixed(0)).join(', ');
  printPhase(fleet, 'configurations', changes, `in force after ${delays} ms`);
}

function parseSize(text: string): Size {
  const [gateways, backends] = text.split('/').map(Number);
  return { gateways: gateways!, backends: backends! };
}

console.log(
  '| gateways/back ends | phase | s | leader % | followers % | a gateway % | leader kB/s | leader late ms | watchers late ms | heartbeats/s, failed | elections | |',
);
console.log('| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |');
for (const size of process.argv.slice(2).map(parseSize)) await measure(size);
process.exit(0);
