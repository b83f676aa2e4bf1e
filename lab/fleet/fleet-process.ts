/** A child process of a fleet. */
import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import { Deferred, LedgegaugeError } from '../../src/common/index.js';
import type { PlannedProcess } from './fleet-plan.js';

/** A process failed to start. */
export class ProcessStartError extends LedgegaugeError {}

/** Processes run the built programs, also when this module is run from its TypeScript source. */
const RUNS_FROM_SOURCE = import.meta.url.endsWith('.ts');
const DIST_FOLDER = fileURLToPath(
  new URL(RUNS_FROM_SOURCE ? '../../dist/' : '../../', import.meta.url),
);
const LEDGEGAUGE_CLI = join(DIST_FOLDER, 'src/cli/ledgegauge.js');
const EMULATOR_CLI = join(DIST_FOLDER, 'emulator/cli/ledgegauge-emulator.js');
const START_TIMEOUT_MS = 30_000;

export class FleetProcess {
  private child: ChildProcess | undefined;
  private exitCode: Promise<number | null> = Promise.resolve(null);

  constructor(
    readonly plan: PlannedProcess,
    private readonly workFolder: string,
  ) {}

  get name(): string {
    return this.plan.name;
  }

  get pid(): number | undefined {
    return this.child?.pid;
  }

  get isRunning(): boolean {
    return this.child !== undefined && this.child.exitCode === null && !this.child.signalCode;
  }

  /** Resolves with the exit code after the process has exited. */
  get exit(): Promise<number | null> {
    return this.exitCode;
  }

  /** Starts the process; resolves when it reports readiness. @throws ProcessStartError */
  async start(): Promise<void> {
    const child = spawn(process.execPath, this.arguments(), { stdio: ['ignore', 'pipe', 'pipe'] });
    this.child = child;
    const log = createWriteStream(join(this.logFolder(), `${this.name}.log`), { flags: 'a' });
    child.stderr!.pipe(log);
    this.exitCode = new Promise((resolve) => child.once('exit', (code) => resolve(code)));
    const ready = new Deferred<void>();
    child.stdout!.once('data', () => ready.resolve());
    const context = { step: 'fleet.start', peer: this.name };
    void this.exitCode.then((code) =>
      ready.reject(new ProcessStartError(`exited with code ${code} before it was ready`, context)),
    );
    const timer = setTimeout(
      () =>
        ready.reject(new ProcessStartError('process not ready within the start timeout', context)),
      START_TIMEOUT_MS,
    );
    try {
      await ready.promise;
    } finally {
      clearTimeout(timer);
    }
  }

  /** Sends a signal to the process if it is running. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child!.kill(signal);
  }

  /** Kills the process and waits for its exit. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exitCode;
  }

  /** Terminates the process and kills it after `timeoutMs`. Resolves with the exit code. */
  async stop(timeoutMs: number): Promise<number | null> {
    if (!this.isRunning) return this.exitCode;
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    const timer = setTimeout(() => this.signal('SIGKILL'), timeoutMs);
    const code = await this.exitCode;
    clearTimeout(timer);
    return code;
  }

  private arguments(): string[] {
    const folder = join(this.workFolder, 'settings');
    mkdirSync(folder, { recursive: true });
    const file = join(folder, `${this.name}.yaml`);
    writeFileSync(file, stringify(this.plan.settings));
    const isLedgegauge = this.plan.kind === 'control' || this.plan.kind === 'gateway';
    return [isLedgegauge ? LEDGEGAUGE_CLI : EMULATOR_CLI, this.plan.kind, '--config', file];
  }

  private logFolder(): string {
    const folder = join(this.workFolder, 'logs');
    mkdirSync(folder, { recursive: true });
    return folder;
  }
}
