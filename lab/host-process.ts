/** A measured process that answers each line on its standard input with a line of JSON. */
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
   * Resolves once the process has written its first line.
   * @param program path of the built program
   * @param flags of the Node process
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

  /** One question at a time. */
  async request<Answer>(question: string): Promise<Answer> {
    this.child.stdin!.write(`${question}\n`);
    const { value } = await this.lines.next();
    return JSON.parse(value) as Answer;
  }

  async stop(): Promise<void> {
    this.child.stdin!.end();
    await once(this.child, 'exit');
  }
}
