/**
 * Measures what the directory costs its three control processes as the fleet grows: real control processes, real
 * watchers of many gateways in two processes, and back ends whose heartbeats come over HTTP.
 *
 *     node dist/lab/directory/main.js GATEWAYS/BACKENDS...
 *
 * For example `24/300 80/1000 240/3000`. Prints a table in Markdown. In the environment:
 *
 * - STEADY: milliseconds of the steady state (10000)
 * - CALLS: calls under way at each gateway, at back ends drawn anew for each question (0)
 * - FLAGS: for the Node processes of control, for example `--cpu-prof --cpu-prof-dir=DIR` (none)
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
const CONTROLS = 3;
const WATCHER_HOSTS = 2;
const SECRET = 'measurement';
const HEARTBEAT_INTERVAL_MS = 1_200;
const STEADY_MS = Number(process.env.STEADY ?? 10_000);
const CALLS = Number(process.env.CALLS ?? 0);
const SETTLE_MS = 3_000;
/** What takes longer isn't waited for, in milliseconds. */
const PATIENCE_MS = 60_000;
const RESTARTS = 20;
const RESTART_PAUSE_MS = 250;
const CONFIGURATION_CHANGES = 5;

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

/** What the control processes did in one phase. */
interface PhaseFigures {
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
  const parts = Array.from({ length: WATCHER_HOSTS }, (_, host) =>
    names.filter((_name, number) => number % WATCHER_HOSTS === host),
  );
  return Promise.all(
    parts.map((part) => {
      const settings = { addresses, secret: SECRET, names: part, callsUnderWay: CALLS };
      return HostProcess.start<WatcherHostSettings>(WATCHER_HOST, settings, []);
    }),
  );
}

async function startFleet(size: Size, folder: string, ports: number[]): Promise<Fleet> {
  const addresses = ports.map((port) => `127.0.0.1:${port}`);
  const internal = addresses.slice(0, CONTROLS);
  const heartbeat = addresses.slice(CONTROLS);
  const controls = await startControls(folder, internal, heartbeat);
  const peers = new PeerDirectory({
    ownName: 'operator',
    secret: SECRET,
    router: new MethodRouter(),
    resolveAddress: (address) => address,
  });
  const directory = new DirectoryClient(new GroupClient({ peers, addresses: internal }));
  await putUntilTaken(directory, 1);
  const watchers = await startWatchers(internal, size.gateways);
  const backends = new SimulatedBackends({
    count: size.backends,
    addresses: heartbeat,
    intervalMs: HEARTBEAT_INTERVAL_MS,
  });
  return { size, controls, watchers, backends, directory, peers };
}

async function putUntilTaken(directory: DirectoryClient, generation: number): Promise<void> {
  for (;;) {
    try {
      await directory.putConfiguration(sampleRoutes(generation), `${generation}`);
      return;
    } catch (error) {
      console.error(`configuration ${generation} is sent again: ${String(error)}`);
    }
  }
}

async function measurePhase(fleet: Fleet, work: () => Promise<unknown>): Promise<PhaseFigures> {
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

/** Resolves with the time until all watchers hold something, in milliseconds. */
async function timeUntilHeld({ watchers }: Fleet, question: string): Promise<number> {
  const startedAt = monotonicMs();
  await Promise.all(watchers.map((watcher) => watcher.request<boolean>(question)));
  return monotonicMs() - startedAt;
}

/** The worst time from order to its being in force at all watchers, in milliseconds. */
async function changeConfigurations(fleet: Fleet): Promise<number[]> {
  const times: number[] = [];
  for (let change = 0; change < CONFIGURATION_CHANGES; change += 1) {
    const generation = 2 + change;
    void putUntilTaken(fleet.directory, generation);
    times.push(await timeUntilHeld(fleet, `configuration ${generation}`));
    await sleep(RESTART_PAUSE_MS);
  }
  return times;
}

async function restartBackends({ backends }: Fleet): Promise<void> {
  for (let number = 0; number < RESTARTS; number += 1) {
    void backends.restart(number);
    await sleep(RESTART_PAUSE_MS);
  }
}

/** Index of the process that leads; of the busiest where none leads at the end. */
function leaderOf(before: ControlHostUsage[], after: ControlHostUsage[]): number {
  const leader = after.findIndex(({ leads }) => leads);
  if (leader >= 0) return leader;
  const used = after.map(({ processorMs }, index) => processorMs - before[index]!.processorMs);
  return used.indexOf(Math.max(...used));
}

function processorMsOf(usages: ProcessUsage[]): number {
  return usages.reduce((sum, { processorMs }) => sum + processorMs, 0);
}

function highestTerm(usages: ControlHostUsage[]): number {
  return Math.max(...usages.map(({ term }) => term));
}

function printPhase({ size }: Fleet, phase: string, figures: PhaseFigures, note: string): void {
  const { seconds, before, after, watchersBefore, watchersAfter, backends } = figures;
  const leader = leaderOf(before, after);
  const share = (index: number): string =>
    ((after[index]!.processorMs - before[index]!.processorMs) / seconds / 10).toFixed(1);
  const followers = after.map((_, index) => index).filter((index) => index !== leader);
  const written = after[leader]!.writtenBytes - before[leader]!.writtenBytes;
  const { lateMs, worstLateMs } = after[leader]!;
  const watcherLateMs = Math.max(...watchersAfter.map((watcher) => watcher.worstLateMs));
  const gatewayMs = (processorMsOf(watchersAfter) - processorMsOf(watchersBefore)) / size.gateways;
  const { acknowledged, failed } = backends.readAndResetCounts();
  const cells = [
    `${size.gateways}/${size.backends}`,
    phase,
    seconds.toFixed(1),
    share(leader),
    followers.map(share).join(' / '),
    (gatewayMs / seconds / 10).toFixed(2),
    (written / seconds / 1_000).toFixed(0),
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
  const fleet = await startFleet(size, folder, await allocator.allocate(2 * CONTROLS));
  await timeUntilHeld(fleet, 'configuration 1');
  await sleep(SETTLE_MS);

  let note = '';
  const registration = await measurePhase(fleet, async () => {
    fleet.backends.start();
    const heldMs = await Promise.race([
      timeUntilHeld(fleet, `backends ${size.backends}`),
      sleep(PATIENCE_MS).then(() => undefined),
    ]);
    note =
      heldMs === undefined ? 'not all held' : `all held after ${(heldMs / 1_000).toFixed(1)} s`;
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
  printPhase(fleet, 'restarts', restarts, `${RESTARTS} back ends start again`);
  let times: number[] = [];
  const changes = await measurePhase(fleet, async () => {
    times = await changeConfigurations(fleet);
  });
  const inForce = times.map((milliseconds) => milliseconds.toFixed(0)).join(', ');
  printPhase(fleet, 'configurations', changes, `in force after ${inForce} ms`);
}

function readSize(text: string): Size {
  const [gateways, backends] = text.split('/').map(Number);
  return { gateways: gateways!, backends: backends! };
}

console.log(
  '| gateways/back ends | phase | s | leader % | followers % | a gateway % | leader kB/s | leader late ms | watchers late ms | heartbeats/s, failed | elections | |',
);
console.log('| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |');
for (const size of process.argv.slice(2).map(readSize)) await measure(size);
process.exit(0);
