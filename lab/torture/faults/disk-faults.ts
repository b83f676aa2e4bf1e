/** Faults of disks: lost data, torn writes and corrupted logs. */
import {
  appendFileSync,
  openSync,
  readSync,
  readdirSync,
  statSync,
  writeSync,
  closeSync,
  rmSync,
} from 'node:fs';
import { join } from 'node:path';
import { EXIT_STORAGE } from '../../../src/cli/exit-codes.js';
import type { FleetProcess } from '../../fleet/fleet-process.js';
import { ProcessStartError } from '../../fleet/fleet-process.js';
import { waitUntilFullyReplicated } from '../../fleet/cluster-status.js';
import type { Fault, FaultContext } from '../fault.js';
import { pickProcess } from './process-faults.js';

const REPLICATION_TIMEOUT_MS = 20_000;
const TORN_BYTES = 37;

function loseDisk(context: FaultContext, control: FleetProcess): Promise<void> {
  return context.locks.runExclusive(control.name, () => context.fleet.loseDisk(control.name));
}

const diskLost: Fault = {
  name: 'disk-lost',
  family: 'disk',
  run: (context) => loseDisk(context, pickProcess(context, 'control')),
};

/** A second member loses its disk as soon as the first one is fully replicated again. */
const disksLostInSequence: Fault = {
  name: 'disks-lost-in-turn',
  family: 'disk',
  async run(context) {
    const { fleet, random } = context;
    const controls = [...fleet.ofKind('control')];
    const first = random.pick(controls);
    const second = random.pick(controls.filter((control) => control !== first));
    await loseDisk(context, first);
    await waitUntilFullyReplicated(fleet, REPLICATION_TIMEOUT_MS);
    await loseDisk(context, second);
  },
};

const tornWrite: Fault = {
  name: 'torn-write',
  family: 'process',
  run(context) {
    const control = pickProcess(context, 'control');
    return context.locks.runExclusive(control.name, () => appendTornWrite(context, control));
  },
};

async function appendTornWrite(context: FaultContext, control: FleetProcess): Promise<void> {
  await control.kill();
  const segment = lastSegment(control);
  const garbage = Array.from({ length: TORN_BYTES }, () => context.random.integer(0, 255));
  if (segment) appendFileSync(segment, Buffer.from(garbage));
  await control.start();
}

/** Corruption in the middle of a log: the member must not start until its data folder is emptied. */
const flippedByte: Fault = {
  name: 'flipped-byte',
  family: 'disk',
  run(context) {
    const control = pickProcess(context, 'control');
    return context.locks.runExclusive(control.name, () => damageLog(context, control));
  },
};

async function damageLog(context: FaultContext, control: FleetProcess): Promise<void> {
  const { recorder, random } = context;
  await control.kill();
  const segment = lastSegment(control);
  if (!segment || !flipByte(segment, random.uniform())) {
    await control.start();
    return;
  }
  const exitCode = await startExpectingFailure(control);
  if (exitCode !== EXIT_STORAGE) {
    const detail = `${control.name}: started with a corrupted log (exit code ${exitCode ?? 'none'})`;
    recorder.history.directViolations.push({ promise: 'history', detail });
    await control.kill();
  }
  rmSync(control.plan.dataFolder!, { recursive: true, force: true });
  await control.start();
}

async function startExpectingFailure(control: FleetProcess): Promise<number | null | undefined> {
  try {
    await control.start();
    return undefined;
  } catch (error) {
    if (!(error instanceof ProcessStartError)) throw error;
    return control.exit;
  }
}

export function lastSegment(control: FleetProcess): string | undefined {
  const folder = join(control.plan.dataFolder!, 'log');
  const names = readdirSync(folder).filter((name) => name.endsWith('.log'));
  const last = names.sort().at(-1);
  return last === undefined ? undefined : join(folder, last);
}

/** Inverts a byte in the first half of a file; returns false if the file is too short. */
export function flipByte(file: string, position: number): boolean {
  const { size } = statSync(file);
  const minimumBytes = 4_096;
  if (size < minimumBytes) return false;
  const offset = Math.floor((size / 2) * position);
  const descriptor = openSync(file, 'r+');
  const byte = Buffer.alloc(1);
  readSync(descriptor, byte, 0, 1, offset);
  byte[0] = byte[0]! ^ 0xff;
  writeSync(descriptor, byte, 0, 1, offset);
  closeSync(descriptor);
  return true;
}

export const DISK_FAULTS: readonly Fault[] = [
  diskLost,
  disksLostInSequence,
  tornWrite,
  flippedByte,
];
