/** A stalled reader of the log must cause dropped lines, not delays. */
import { closeSync, openSync, readFileSync } from 'node:fs';
import { spawn } from 'node:child_process';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { temporaryFolder } from '../../tests/support/temporary-folder.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { LineWriter } from './line-writer.js';

const RATE_LIMIT = { linesPerSecond: 100, bytesPerSecond: 10_000 };

describe('line writer', () => {
  it('writes complete lines in order', async () => {
    const path = join(temporaryFolder(), 'log');
    const descriptor = openSync(path, 'w');
    const writer = new LineWriter({ descriptor });
    for (let line = 0; line < 50; line += 1) writer.write(`line ${line}`, 'normal');
    writer.flush();
    await waitUntil('lines written', () => readFileSync(path, 'utf8').endsWith('line 49\n'));
    closeSync(descriptor);
    expect(readFileSync(path, 'utf8').split('\n')).toHaveLength(51);
  });

  it('drops lines above the rate limit, those of normal priority first, and logs how many', async () => {
    const path = join(temporaryFolder(), 'log');
    const descriptor = openSync(path, 'w');
    const writer = new LineWriter({ descriptor, budget: RATE_LIMIT });
    for (let line = 0; line < 200; line += 1) writer.write('ordinary', 'normal');
    for (let line = 0; line < 20; line += 1) writer.write('failure', 'high');
    writer.flush();
    await waitUntil('dropped lines logged', () =>
      readFileSync(path, 'utf8').includes('log.dropped'),
    );
    closeSync(descriptor);
    const lines = readFileSync(path, 'utf8').trim().split('\n');
    expect(lines.filter((line) => line === 'failure')).toHaveLength(20);
    expect(writer.droppedLines).toBeGreaterThan(100);
    const report = JSON.parse(lines.at(-1)!) as { lines: number };
    expect(report.lines).toBe(writer.droppedLines);
  });

  it('does not block on a stalled reader', async () => {
    const source = `
      import { LineWriter } from ${JSON.stringify(join(process.cwd(), 'dist/src/observability/line-writer.js'))};
      const writer = new LineWriter({
        maxQueuedBytes: 100000,
        budget: { linesPerSecond: 1e6, bytesPerSecond: 1e9 },
      });
      let longest = 0;
      let rounds = 0;
      const timer = setInterval(() => {
        const now = performance.now();
        for (let line = 0; line < 100; line += 1) writer.write('x'.repeat(500), 'normal');
        longest = Math.max(longest, performance.now() - now);
        rounds += 1;
        if (rounds < 100) return;
        clearInterval(timer);
        process.stderr.write(JSON.stringify({ longest, dropped: writer.droppedLines }) + '\\n');
        process.exit(0);
      }, 5);
    `;
    const child = spawn(process.execPath, ['--input-type=module', '-e', source], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    // Nothing reads the child's standard output.
    child.stdout.pause();
    let output = '';
    child.stderr.on('data', (chunk: Buffer) => (output += chunk.toString()));
    await waitUntil('rounds done', () => output.includes('\n'));
    child.kill('SIGKILL');
    const result = JSON.parse(output) as { longest: number; dropped: number };
    expect(result.dropped).toBeGreaterThan(1_000);
    expect(result.longest).toBeLessThan(200);
  });
});
