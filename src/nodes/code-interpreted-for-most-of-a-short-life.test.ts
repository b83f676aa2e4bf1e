/** V8 interpreted most functions of a process that had a few seconds of processor time in all. */
import { execFileSync } from 'node:child_process';
import { join } from 'node:path';
import { expect, it } from 'vitest';

/** Bits of V8's optimization status. */
const OPTIMIZED = 1 << 4;
const BASELINE = 1 << 15;

const REPORT_STATUS = `
  import { setV8Flags } from ${JSON.stringify(join(process.cwd(), 'dist/src/nodes/v8-flags.js'))};
  setV8Flags();
  const statusOf = new Function('f', 'return %GetOptimizationStatus(f)');
  function sum(count) {
    let total = 0;
    for (let item = 0; item < count; item += 1) total += item;
    return total;
  }
  sum(1);
  const first = statusOf(sum);
  for (let call = 0; call < 100000; call += 1) sum(100);
  console.log(JSON.stringify({ first, later: statusOf(sum) }));
`;

it('compiles a function at its first call, and optimizes one that runs for long', () => {
  const script = ['--allow-natives-syntax', '--input-type=module', '-e', REPORT_STATUS];
  const status = JSON.parse(execFileSync(process.execPath, script, { encoding: 'utf8' })) as {
    first: number;
    later: number;
  };
  expect(status.first & BASELINE).toBe(BASELINE);
  expect(status.later & OPTIMIZED).toBe(OPTIMIZED);
});
