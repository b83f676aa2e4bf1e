/** Child process that replies to each line on its standard input with one line of JSON. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';

export class HostProcess {
  private readonly lines: AsyncIterator<string>;

  private constructor(private readonly child: ChildProcess) {
    const reader = createInterface({ input: child.stdout! });
    this.lines = reader[Symbol.asyncIterator]();
  }

  /**
   * Starts a process and waits until it has written its first line.
   * @param program path of the compiled program
   * @param flags Node flags
   */
  static async start<Settings>(
    program: string,
    settings: Settings,
    flags: readonly string[],
  ): Promise<HostProcess> {
    const child = spawn(process.execPath, [...flags, program, JSON.stringify(settings)], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    const host = new HostProcess(child);
    await host.lines.next();
    return host;
  }

  /** Sends a command and returns the reply. Only one request may be in flight. */
  async request<Reply>(command: string): Promise<Reply> {
    this.child.stdin!.write(`${command}\n`);
    const { value } = await this.lines.next();
    return JSON.parse(value) as Reply;
  }

  async stop(): Promise<void> {
    this.child.stdin!.end();
    await once(this.child, 'exit');
  }
}
