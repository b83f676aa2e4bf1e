/** `check-config`: validates a settings file without starting a daemon. */
import type { CAC } from 'cac';
import type { z } from 'zod';
import { SettingsError, loadSettings } from '../settings/index.js';
import { UsageError } from './daemon-command.js';
import { runAction } from './run-daemon.js';

/** Settings schemas of a program's daemons, by command name. */
export type DaemonSchemas = Readonly<Record<string, z.ZodType>>;

export function addCheckConfigCommand(cli: CAC, schemas: DaemonSchemas): void {
  const kinds = Object.keys(schemas).join(', ');
  cli
    .command('check-config <file>', 'Validate a settings file without starting a daemon')
    .option('--kind <kind>', `One of ${kinds}; detected from the file by default`)
    .action((file: string, flags: { kind?: string }) =>
      runAction(() => {
        checkConfig(schemas, file, flags.kind);
        process.stdout.write(`${file}: ok\n`);
      }),
    );
}

/** @throws SettingsError for the given kind, or for the kind that matches best */
function checkConfig(schemas: DaemonSchemas, file: string, kind: string | undefined): void {
  if (kind !== undefined) {
    const schema = schemas[kind];
    if (!schema) throw new UsageError(`--kind is one of ${Object.keys(schemas).join(', ')}`);
    loadSettings(schema, file);
    return;
  }
  const problems: SettingsError[] = [];
  for (const schema of Object.values(schemas)) {
    try {
      loadSettings(schema, file);
      return;
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error;
      problems.push(error);
    }
  }
  // The kind with the shortest list of errors is most likely the intended one.
  problems.sort((left, right) => left.message.length - right.message.length);
  throw problems[0]!;
}
