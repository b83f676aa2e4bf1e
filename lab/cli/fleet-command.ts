/** `fleet` command: starts a fleet, prints its status, or stops it. */
import { existsSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { request } from 'undici';
import { LedgegaugeError, sleep } from '../../src/common/index.js';
import type { Fleet } from '../fleet/fleet.js';
import type { ProcessKind } from '../fleet/fleet-plan.js';
import { findDeployment } from '../fleet/topology.js';
import { createProgress } from './progress.js';
import { formatTable } from './table.js';
import { startTemporaryFleet } from './temporary-fleet.js';
import { removeWorkFolder } from './work-folder.js';

export interface FleetFlags {
  deployment: string;
  seed: number;
  timeScale: number;
}

interface FleetProcessState {
  kind: ProcessKind;
  name: string;
  zone: string;
  pid: number | undefined;
  address: string;
  statusAddress?: string;
}

interface FleetState {
  pid: number;
  deployment: string;
  workFolder: string;
  operatorAddresses: string[];
  operatorKey: string;
  clientGateways: string[];
  tenantKeys: Record<string, string>;
  processes: FleetProcessState[];
}

const STATE_FOLDER = '.ledgegauge';
const STATE_FILE = join(STATE_FOLDER, 'fleet.json');
const JOURNAL_GROUPS = 4;
const STOP_POLL_INTERVAL_MS = 100;
const PROBE_TIMEOUT_MS = 1_000;

export async function runFleet(action: string, flags: FleetFlags): Promise<void> {
  switch (action) {
    case 'up':
      return startFleet(flags);
    case 'status':
      return printStatus();
    case 'down':
      return stopFleet();
    default:
      throw new LedgegaugeError('fleet action must be up, status or down', { step: 'cli.usage' });
  }
}

async function startFleet(flags: FleetFlags): Promise<void> {
  const progress = createProgress('starting', false);
  const { fleet, workFolder } = await startTemporaryFleet('fleet', {
    deployment: findDeployment(flags.deployment),
    timeScale: flags.timeScale,
    journalGroups: JOURNAL_GROUPS,
    seed: flags.seed,
    onProgress: (done, total, step) => progress.update(done, total, step),
  });
  progress.stop();
  writeState(fleet);
  process.on('exit', () => {
    rmSync(STATE_FILE, { force: true });
    removeWorkFolder(workFolder);
  });
  process.stdout.write(`${await formatStatus(readState())}\n`);
  process.stdout.write('fleet is running; press Ctrl-C to stop it\n');
  // Waits until a signal handler exits the process.
  await new Promise(() => undefined);
}

async function printStatus(): Promise<void> {
  const state = readState();
  process.stdout.write(`${await formatStatus(state)}\n`);
}

async function stopFleet(): Promise<void> {
  const { pid } = readState();
  process.kill(pid, 'SIGTERM');
  while (existsSync(STATE_FILE)) await sleep(STOP_POLL_INTERVAL_MS);
  process.stdout.write('down\n');
}

function writeState(fleet: Fleet): void {
  const { plan } = fleet;
  const controls = fleet.ofKind('control');
  const state: FleetState = {
    pid: process.pid,
    deployment: plan.deployment.name,
    workFolder: fleet.workFolder,
    operatorAddresses: controls.map((control) => control.plan.operatorAddress!),
    operatorKey: plan.operatorKey,
    clientGateways: plan.clientGateways,
    tenantKeys: plan.tenantKeys,
    processes: [...fleet.processes.values()].map(
      ({ plan: { kind, name, zone, address, statusAddress }, pid }) => ({
        kind,
        name,
        zone,
        pid,
        address,
        statusAddress,
      }),
    ),
  };
  mkdirSync(STATE_FOLDER, { recursive: true });
  writeFileSync(STATE_FILE, JSON.stringify(state, null, 2));
}

function readState(): FleetState {
  if (!existsSync(STATE_FILE)) {
    throw new LedgegaugeError('no fleet is running in this folder', { step: 'cli.usage' });
  }
  return JSON.parse(readFileSync(STATE_FILE, 'utf8')) as FleetState;
}

async function formatStatus(state: FleetState): Promise<string> {
  const rows = await Promise.all(
    state.processes.map(async (process) => [
      process.name,
      process.kind,
      process.zone,
      String(process.pid ?? '-'),
      process.address,
      await probeProcess(process),
    ]),
  );
  return [
    formatTable(['process', 'kind', 'zone', 'pid', 'address', 'state'], rows),
    '',
    `gateways for clients: ${state.clientGateways.join(', ')}`,
    `keys: ${Object.values(state.tenantKeys).join(', ')}`,
    `operators: ledgegauge status --control ${state.operatorAddresses.join(',')} --key ${state.operatorKey}`,
  ].join('\n');
}

async function probeProcess(process: FleetProcessState): Promise<string> {
  const hasStatusPage = process.statusAddress !== undefined;
  const url = hasStatusPage
    ? `http://${process.statusAddress}/readyz`
    : `http://${process.address}/healthz`;
  try {
    const response = await request(url, { headersTimeout: PROBE_TIMEOUT_MS });
    await response.body.dump();
    if (response.statusCode === 200) return hasStatusPage ? 'ready' : 'up';
    return response.statusCode === 404 ? 'up' : 'not ready';
  } catch {
    return 'down';
  }
}
