/** Tests the command line programs as processes: help, version, settings check, exit codes. */
import { spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { EXIT_OK, EXIT_USAGE } from '../src/cli/exit-codes.js';
import { temporaryFolder } from './support/temporary-folder.js';

const { version } = JSON.parse(readFileSync('package.json', 'utf8')) as { version: string };
const PROGRAMS = {
  ledgegauge: 'dist/src/cli/ledgegauge.js',
  'ledgegauge-emulator': 'dist/emulator/cli/ledgegauge-emulator.js',
  'ledgegauge-lab': 'dist/lab/cli/ledgegauge-lab.js',
};

function run(program: string, ...flags: string[]): { status: number | null; output: string } {
  const result = spawnSync(process.execPath, [program, ...flags], { encoding: 'utf8' });
  return { status: result.status, output: result.stdout + result.stderr };
}

function settingsFile(text: string): string {
  const file = join(temporaryFolder(), 'gateway.yaml');
  writeFileSync(file, text);
  return file;
}

const VALID_SETTINGS = `
node: { name: gateway-1, zone: zone-a }
listen: { callerPort: 0 }
cluster: { secret: a-secret-long-enough, controlAddresses: ['127.0.0.1:1'] }
`;

describe.each(Object.entries(PROGRAMS))('%s', (name, program) => {
  it('prints the version of the package', () => {
    const { status, output } = run(program, '--version');
    expect(status).toBe(EXIT_OK);
    expect(output).toContain(`${name}/${version}`);
  });

  it('prints its help', () => {
    const { status, output } = run(program, '--help');
    expect(status).toBe(EXIT_OK);
    expect(output).toContain('Commands:');
  });

  it('rejects unknown commands', () => {
    expect(run(program, 'dance').status).toBe(EXIT_USAGE);
  });
});

describe('check-config', () => {
  const program = PROGRAMS.ledgegauge;

  it('accepts valid settings', () => {
    expect(run(program, 'check-config', settingsFile(VALID_SETTINGS))).toMatchObject({
      status: EXIT_OK,
    });
  });

  it.each([
    'examples/pipeline/control-1.yaml',
    'examples/pipeline/gateway-1.yaml',
    'examples/consortium/control-1.yaml',
    'examples/consortium/gateway-1.yaml',
  ])('accepts %s', (file) => {
    expect(run(program, 'check-config', file)).toMatchObject({ status: EXIT_OK });
  });

  it('checks settings of emulators', () => {
    const file = settingsFile('node: { name: e, zone: z }\nlisten: { port: 0 }\ntimeScale: fast');
    const { status, output } = run(
      PROGRAMS['ledgegauge-emulator'],
      'check-config',
      file,
      '--kind',
      'engine',
    );
    expect(status).toBe(EXIT_USAGE);
    expect(output).toContain('timeScale');
  });

  it('reports file, path and expected value', () => {
    const file = settingsFile(`${VALID_SETTINGS}\ncalls: { idleTimeout: soon }`);
    const { status, output } = run(program, 'check-config', file);
    expect(status).toBe(EXIT_USAGE);
    expect(output).toContain(`${file}: calls.idleTimeout: "soon" is not a number with a unit`);
  });

  it('is performed by daemons before they start', () => {
    const file = settingsFile(`${VALID_SETTINGS}\nsurprise: 1`);
    const { status, output } = run(program, 'gateway', '--config', file);
    expect(status).toBe(EXIT_USAGE);
    expect(output).toContain('surprise');
  });

  it('checks settings from flags', () => {
    const file = settingsFile(VALID_SETTINGS);
    const flags = ['--config', file, '--set', 'routing.policy=lucky'];
    const { status, output } = run(program, 'gateway', ...flags);
    expect(status).toBe(EXIT_USAGE);
    expect(output).toContain('routing.policy');
  });
});
