/**
 * Follows the directory as many gateways do, in one process.
 *
 *     node watcher-host.js SETTINGS
 *
 * SETTINGS is a JSON object as in `WatcherHostSettings`. Lines on standard input: `usage` is answered with a line of
 * `ProcessUsage`, `configuration GENERATION` and `backends COUNT` with `true` once all watchers hold that.
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
  /** Names of the gateways that are played. */
  names: string[];
  /** Calls under way at each gateway, at back ends drawn anew for each question. */
  callsUnderWay: number;
}

interface HeldParts {
  generation: number;
  backends: number;
  ids: string[];
}

const changed = new SignalEvent();

/** One call at each of some back ends. */
function drawLoads(ids: readonly string[], calls: number): BackendLoad[] {
  if (ids.length === 0) return [];
  const draw = (): string => ids[Math.floor(Math.random() * ids.length)]!;
  const drawn = new Set(Array.from({ length: calls }, draw));
  return [...drawn].map((id) => ({ id, inFlight: 1 }));
}

function follow(
  name: string,
  { addresses, secret, callsUnderWay }: WatcherHostSettings,
): HeldParts {
  const peers = new PeerDirectory({
    ownName: name,
    secret,
    router: new MethodRouter(),
    resolveAddress: (address) => address,
  });
  const held: HeldParts = { generation: 0, backends: 0, ids: [] };
  const watcher = new DirectoryWatcher({
    client: new DirectoryClient(new GroupClient({ peers, addresses })),
    announce: () => ({ name, role: 'gateway', address: `${name}:1`, zone: 'zone' }),
    loads: () => drawLoads(held.ids, callsUnderWay),
    logger: SILENT_LOGGER,
    // Gateways read them, so that their cost belongs to a gateway's.
    onOtherLoads: () => undefined,
    onConfiguration: ({ generation }) => {
      held.generation = generation;
      changed.notify();
    },
    onBackends: (records) => {
      held.backends = records.length;
      if (callsUnderWay > 0) held.ids = records.map(({ id }) => id);
      changed.notify();
    },
  });
  watcher.start();
  return held;
}

async function waitForAll(holds: (held: HeldParts) => boolean): Promise<boolean> {
  while (!watchers.every(holds)) await changed.wait();
  return true;
}

async function answer(question: string): Promise<unknown> {
  const [kind, number] = question.split(' ');
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
const watchers = settings.names.map((name) => follow(name, settings));
const meter = new UsageMeter();
console.log('ready');
for await (const line of createInterface({ input: process.stdin })) {
  console.log(JSON.stringify(await answer(line)));
}
process.exit(0);
