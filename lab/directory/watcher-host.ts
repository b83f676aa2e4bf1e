/**
 * Runs the directory watchers of many gateways in one process.
 *
 *     node watcher-host.js SETTINGS
 *
 * SETTINGS is a JSON object of type `WatcherHostSettings`. Commands are lines on standard input, results are lines of
 * JSON: `usage` returns a `ProcessUsage`; `configuration GENERATION` and `backends COUNT` return `true` as soon as all
 * watchers have that state.
 */
import { createInterface } from 'node:readline';
import { SignalEvent } from '../../src/common/index.js';
import { GroupClient, PeerDirectory } from '../../src/consensus/index.js';
import { type BackendLoad, DirectoryClient, DirectoryWatcher } from '../../src/directory/index.js';
import { MethodRouter } from '../../src/wire/index.js';
import { SILENT_LOGGER } from '../silent-logger.js';
import { UsageMeter } from './process-usage.js';

export interface WatcherHostSettings {
  /** Internal addresses of the control processes. */
  addresses: string[];
  secret: string;
  /** Names of the simulated gateways. */
  names: string[];
  /** Running calls per gateway, at backends sampled anew for each load report. */
  callsUnderWay: number;
}

interface WatcherState {
  generation: number;
  backends: number;
  ids: string[];
}

const stateChanged = new SignalEvent();

/** Reports one running call at each of up to `calls` randomly sampled backends. */
function sampleLoads(ids: readonly string[], calls: number): BackendLoad[] {
  if (ids.length === 0) return [];
  const sampleId = (): string => ids[Math.floor(Math.random() * ids.length)]!;
  const sampledIds = new Set(Array.from({ length: calls }, sampleId));
  return [...sampledIds].map((id) => ({ id, inFlight: 1 }));
}

function startWatcher(
  name: string,
  { addresses, secret, callsUnderWay }: WatcherHostSettings,
): WatcherState {
  const peers = new PeerDirectory({
    ownName: name,
    secret,
    router: new MethodRouter(),
    resolveAddress: (address) => address,
  });
  const state: WatcherState = { generation: 0, backends: 0, ids: [] };
  const watcher = new DirectoryWatcher({
    client: new DirectoryClient(new GroupClient({ peers, addresses })),
    announce: () => ({ name, role: 'gateway', address: `${name}:1`, zone: 'zone' }),
    loads: () => sampleLoads(state.ids, callsUnderWay),
    logger: SILENT_LOGGER,
    // With a listener, load reports are decoded as in a gateway and count towards the measured cost.
    onOtherLoads: () => undefined,
    onConfiguration: ({ generation }) => {
      state.generation = generation;
      stateChanged.notify();
    },
    onBackends: (records) => {
      state.backends = records.length;
      if (callsUnderWay > 0) state.ids = records.map(({ id }) => id);
      stateChanged.notify();
    },
  });
  watcher.start();
  return state;
}

async function waitForAll(predicate: (state: WatcherState) => boolean): Promise<boolean> {
  while (!watchers.every(predicate)) await stateChanged.wait();
  return true;
}

async function handleCommand(command: string): Promise<unknown> {
  const [kind, number] = command.split(' ');
  switch (kind) {
    case 'configuration':
      return waitForAll(({ generation }) => generation >= Number(number));
    case 'backends':
      return waitForAll(({ backends }) => backends === Number(number));
    default:
      return meter.read();
  }
}

const settings = JSON.parse(process.argv[2]!) as WatcherHostSettings;
const watchers = settings.names.map((name) => startWatcher(name, settings));
const meter = new UsageMeter();
console.log('ready');
for await (const line of createInterface({ input: process.stdin })) {
  console.log(JSON.stringify(await handleCommand(line)));
}
process.exit(0);
