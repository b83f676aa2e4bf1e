/**
 * Runs a small deployment: the project's own programs as separate processes on loopback addresses, with the commands
 * of deploy/system.toml and settings as DEPLOY.md describes them.
 */
import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync, appendFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

export const ROOT = new URL('../..', import.meta.url).pathname;
const METRICS_PORT = 9464;
const GRACE_S = 8;
const ROLES = {
  gateway: { machineClass: 'edge', serves: 'edge', memoryMb: 310, diskMb: 0 },
  control: { machineClass: 'core', serves: 'control', memoryMb: 346, diskMb: 128 },
  journal: { machineClass: 'storage', serves: 'storage', memoryMb: 310, diskMb: 260 },
};
export const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4.8,
  drainMs: 2000,
  graceS: GRACE_S,
  lossSlackMs: 200,
  configDeadlineMs: 2000,
  rollbackSlackMs: 250,
  outerMs: 5000,
  recoverS: 12,
  passMs: 120,
  retryAfterS: 0,
  deadlineS: 10,
  settleMs: 1000,
};

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Repeats a check until it holds. */
export async function until(what, check, timeoutMs = 30_000) {
  const end = Date.now() + timeoutMs;
  while (Date.now() < end) {
    const result = await check().catch(() => undefined);
    if (result) return result;
    await sleep(100);
  }
  throw new Error(`could not run: ${what}`);
}

async function freePort(host) {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

async function isFree(host, port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** One HTTP exchange; resolves with what arrived, complete or not. */
export function exchange({ address, method = 'GET', path, headers = {}, body, timeoutMs = 5_000 }) {
  const [hostname, port] = address.split(':');
  return new Promise((resolve) => {
    const result = { status: undefined, headers: {}, body: '', isComplete: false };
    const outgoing = request({ hostname, port, path, method, headers, agent: false });
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs);
    const finish = (error) => {
      clearTimeout(timer);
      if (error) result.error = error.code ?? error.message;
      resolve(result);
    };
    outgoing.on('error', finish);
    outgoing.on('response', (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.on('data', (chunk) => (result.body += chunk.toString('latin1')));
      response.on('error', finish);
      response.on('close', () => {
        result.isComplete = response.complete;
        finish();
      });
    });
    outgoing.end(body);
  });
}

export class Fleet {
  machines = [];
  exits = [];
  startedAt = Date.now();

  /** @param recordFile gets a line for each thing that was sent, answered or run */
  constructor(recordFile) {
    this.folder = mkdtempSync(join(tmpdir(), 'ledgegauge-review-'));
    this.recordFile = recordFile;
    writeFileSync(recordFile, '');
  }

  record(line) {
    const seconds = ((Date.now() - this.startedAt) / 1000).toFixed(3);
    appendFileSync(this.recordFile, `${seconds} ${line}\n`);
  }

  async add(role, count) {
    this.ports ??= {
      front: await freePort('127.0.0.1'),
      readiness: await freePort('127.0.0.1'),
      control: await freePort('127.0.0.1'),
      internal: await freePort('127.0.0.1'),
    };
    this.network ??= 1 + Math.floor(Math.random() * 250);
    for (let added = 0; added < count;) {
      this.nextHost = (this.nextHost ?? 0) + 1;
      const ip = `127.81.${this.network}.${this.nextHost}`;
      const ports = [METRICS_PORT, ...Object.values(this.ports)];
      const free = await Promise.all(ports.map((port) => isFree(ip, port)));
      if (free.includes(false)) continue;
      added += 1;
      const zone = `zone-${'abc'[(added - 1) % 3]}`;
      const name = `${ROLES[role].machineClass}-${zone}-${added}`;
      this.machines.push({ name, role, ip, zone, isFirst: true });
    }
  }

  of(role) {
    return this.machines.filter((machine) => machine.role === role);
  }

  front(index) {
    return `${this.of('gateway')[index].ip}:${this.ports.front}`;
  }

  control(index = 0) {
    return `${this.of('control')[index].ip}:${this.ports.control}`;
  }

  settingsOf(machine) {
    const { machineClass, serves, memoryMb, diskMb } = ROLES[machine.role];
    const { ip, name, zone, role } = machine;
    const { front, readiness, control, internal } = this.ports;
    const binds = {
      gateway: { front: `${ip}:${front}`, readiness: `${ip}:${readiness}` },
      control: { control: `${ip}:${control}` },
      journal: {},
    };
    const dataDir = diskMb > 0 ? join(this.folder, `${name}-data`) : null;
    if (dataDir) mkdirSync(dataDir, { recursive: true });
    return {
      nodeName: name,
      role,
      machineClass,
      serves: [serves],
      ip,
      zone,
      region: 'home',
      zones: { 'zone-a': 'home', 'zone-b': 'home', 'zone-c': 'home' },
      bind: binds[role],
      portRange: [internal, internal + 15],
      seeds: this.of('control')
        .slice(0, 3)
        .map((seed) => `${seed.ip}:${control}`),
      bootstrap: machine.isFirst,
      inFaultBudget: diskMb > 0,
      limits: { cpuShare: 0.675, cores: 1, memoryMb, maxFds: 4100, linkMbps: 1000, diskMb },
      dataDir,
      discovery: 'registry',
      ingress: 'vip',
      heartbeatMs: 1200,
      invariants: ['base', 'drain', 'config', 'cost', 'recover', 'agent', 'stream', 'engine'],
      faultTolerance: { machines: 1, zones: 0, regions: 0 },
      bounds: BOUNDS,
      configMode: 'highest',
    };
  }

  start(machine) {
    const file = join(this.folder, `${machine.name}.json`);
    writeFileSync(file, JSON.stringify(this.settingsOf(machine)));
    machine.isFirst = false;
    const line = ['target/ledgegauge.mjs', machine.role, '--metrics-port', String(METRICS_PORT)];
    const child = spawn('node', line, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LEDGEGAUGE_NODE_FILE: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = join(this.folder, `${machine.name}.log`);
    for (const output of [child.stdout, child.stderr])
      output.on('data', (chunk) => appendFileSync(log, chunk));
    machine.isExpectedToEnd = false;
    child.once('exit', (code, signal) => {
      if (!machine.isExpectedToEnd) this.exits.push(`${machine.name}: ${code ?? signal}`);
    });
    machine.child = child;
  }

  async startAll() {
    for (const machine of this.machines) this.start(machine);
    this.record(`started ${this.machines.map(({ name }) => name).join(', ')}`);
  }

  signal(machine, signal) {
    this.record(`${signal} to ${machine.name}`);
    machine.isExpectedToEnd ||= signal === 'SIGKILL' || signal === 'SIGTERM';
    machine.child.kill(signal);
  }

  async ended(machine) {
    const { child } = machine;
    if (child.exitCode !== null || child.signalCode !== null) return;
    await new Promise((resolve) => child.once('exit', resolve));
  }

  async isReady(index) {
    const { ip } = this.of('gateway')[index];
    const address = `${ip}:${this.ports.readiness}`;
    return (await exchange({ address, path: '/v1/readyz', timeoutMs: 1000 })).status === 200;
  }

  /** Sends a configuration to one control process after the other until it is acknowledged. */
  async configure(configuration) {
    const body = JSON.stringify(configuration);
    const headers = { 'Content-Type': 'application/json' };
    const controls = this.of('control');
    let next = 0;
    await until('configuration acknowledged', async () => {
      const address = this.control(next++ % controls.length);
      const call = { address, method: 'PUT', path: '/v1/config', headers, body, timeoutMs: 3000 };
      const { status } = await exchange(call);
      if (status !== 200) return false;
      this.record(`configuration ${configuration.generation} acknowledged by ${address}`);
      return true;
    });
  }

  /** Resolves when the gateways say that they are ready. */
  async waitReady() {
    const gateways = this.of('gateway').map((_, index) => index);
    await until('gateways ready', async () => {
      const ready = await Promise.all(gateways.map((index) => this.isReady(index)));
      return !ready.includes(false);
    });
  }

  /** Ends every process that this fleet has started and removes its folder. */
  async end() {
    for (const machine of this.machines) {
      if (!machine.child) continue;
      machine.isExpectedToEnd = true;
      machine.child.kill('SIGCONT');
      machine.child.kill('SIGKILL');
      await this.ended(machine);
    }
    if (!process.env.KEEP_LOGS) rmSync(this.folder, { recursive: true, force: true });
    else console.log(`logs in ${this.folder}`);
  }
}

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(recordFile, play) {
  const fleet = new Fleet(recordFile);
  const hasTrouble = process.env.TROUBLE !== '0';
  let code = 2;
  const cleanups = [];
  const limit = setTimeout(() => finish('the case took too long'), 115_000);
  let isEnding = false;
  const finish = async (problem) => {
    if (isEnding) return;
    isEnding = true;
    clearTimeout(limit);
    if (problem) fleet.record(`could not run: ${problem}`);
    for (const cleanup of cleanups) cleanup();
    await fleet.end();
    process.exit(code);
  };
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => void finish(signal));
  try {
    const broken = await play(fleet, hasTrouble, (cleanup) => cleanups.push(cleanup));
    if (fleet.exits.length > 0) fleet.record(`processes that ended: ${fleet.exits.join('; ')}`);
    fleet.record(broken.length > 0 ? `BROKEN: ${broken.join(' | ')}` : 'held');
    console.log(broken.length > 0 ? `broken: ${broken[0]}` : 'held');
    code = broken.length > 0 ? 1 : 0;
    await finish();
  } catch (error) {
    console.log(String(error.message ?? error));
    await finish(error.stack ?? String(error));
  }
}
