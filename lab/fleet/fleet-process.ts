/** One process that the fleet tool has started. */
import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import { Deferred, LedgegaugeError } from '../../src/common/index.js';
import type { PlannedProcess } from './fleet-plan.js';

/** A process did not come up. */
export class ProcessStartError extends LedgegaugeError {}

/** Tests run from the sources; the programs that they start are the built ones all the same. */
const RUNS_FROM_SOURCE = import.meta.url.endsWith('.ts');
const DISTRIBUTION = fileURLToPath(
  new URL(RUNS_FROM_SOURCE ? '../../dist/' : '../../', import.meta.url),
);
const PRODUCT = join(DISTRIBUTION, 'src/cli/ledgegauge.js');
const EMULATOR = join(DISTRIBUTION, 'emulator/cli/ledgegauge-emulator.js');
const START_TIMEOUT_MS = 30_000;

export class FleetProcess {
  private child: ChildProcess | undefined;
  private exited: Promise<number | null> = Promise.resolve(null);

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

  /** Resolves with the exit code once the process has ended. */
  get exit(): Promise<number | null> {
    return this.exited;
  }

  /** Starts the process; resolves when it says that it serves. @throws ProcessStartError */
  async start(): Promise<void> {
    const child = spawn(process.execPath, this.arguments(), { stdio: ['ignore', 'pipe', 'pipe'] });
    this.child = child;
    const log = createWriteStream(join(this.logFolder(), `${this.name}.log`), { flags: 'a' });
    child.stderr!.pipe(log);
    this.exited = new Promise((resolve) => child.once('exit', (code) => resolve(code)));
    const ready = new Deferred<void>();
    child.stdout!.once('data', () => ready.resolve());
    const context = { step: 'fleet.start', peer: this.name };
    void this.exited.then((code) =>
      ready.reject(new ProcessStartError(`ended with code ${code}`, context)),
    );
    const timer = setTimeout(
      () => ready.reject(new ProcessStartError('did not come up in time', context)),
      START_TIMEOUT_MS,
    );
    try {
      await ready.promise;
    } finally {
      clearTimeout(timer);
    }
  }

  /** Sends a signal to this process, by its id. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child!.kill(signal);
  }

  /** Ends the process at once and waits for it. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  /** Asks the process to stop; kills it after `patienceMs`. Resolves with the exit code. */
  async stop(patienceMs: number): Promise<number | null> {
    if (!this.isRunning) return this.exited;
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    const timer = setTimeout(() => this.signal('SIGKILL'), patienceMs);
    const code = await this.exited;
    clearTimeout(timer);
    return code;
  }

  private arguments(): string[] {
    const folder = join(this.workFolder, 'settings');
    mkdirSync(folder, { recursive: true });
    const file = join(folder, `${this.name}.yaml`);
    writeFileSync(file, stringify(this.plan.settings));
    const isProduct = this.plan.kind === 'control' || this.plan.kind === 'gateway';
    return [isProduct ? PRODUCT : EMULATOR, this.plan.kind, '--config', file];
  }

  private logFolder(): string {
    const folder = join(this.workFolder, 'logs');
    mkdirSync(folder, { recursive: true });
    return folder;
  }
}
