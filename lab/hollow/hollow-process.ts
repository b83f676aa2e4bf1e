/** The tool's handle on a process full of hollow nodes. */
import { type ChildProcess, fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { Deferred, LedgegaugeError } from '../../src/common/index.js';
import type {
  HollowCommand,
  HollowNodeState,
  HollowReply,
  HollowStatistics,
} from './hollow-messages.js';

/** The process ended before it answered. */
export class HollowProcessError extends LedgegaugeError {}

const ENTRY = fileURLToPath(new URL('hollow-host.js', import.meta.url));

export class HollowProcess {
  private readonly child: ChildProcess;
  private readonly pending = new Map<number, Deferred<HollowReply>>();
  private nextId = 1;

  constructor() {
    this.child = fork(ENTRY, [], { execArgv: ['--expose-gc'] });
    this.child.on('message', (reply: HollowReply) => {
      this.pending.get(reply.id)?.resolve(reply);
      this.pending.delete(reply.id);
    });
    this.child.once('exit', (code) => this.failPending(code));
  }

  async send(command: HollowCommand): Promise<HollowReply> {
    const id = this.nextId++;
    const deferred = new Deferred<HollowReply>();
    this.pending.set(id, deferred);
    this.child.send({ id, command });
    return deferred.promise;
  }

  async statistics(): Promise<HollowStatistics> {
    return (await this.send({ type: 'statistics' })).statistics!;
  }

  /** Resolves with the address at which the process answers for its runners. */
  async listen(): Promise<string> {
    return `127.0.0.1:${(await this.send({ type: 'listen' })).port!}`;
  }

  async states(): Promise<HollowNodeState[]> {
    return (await this.send({ type: 'states' })).states!;
  }

  async stop(): Promise<void> {
    const exited = new Promise((resolve) => this.child.once('exit', resolve));
    await this.send({ type: 'stop' }).catch(() => undefined);
    this.child.kill('SIGTERM');
    await exited;
  }

  private failPending(code: number | null): void {
    const context = { step: 'hollow.process', peer: String(this.child.pid) };
    for (const deferred of this.pending.values()) {
      deferred.reject(new HollowProcessError(`ended with code ${code}`, context));
    }
    this.pending.clear();
  }
}
