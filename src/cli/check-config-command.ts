/** `check-config`: checks a settings file and starts nothing. */
import type { CAC } from 'cac';
import type { z } from 'zod';
import { SettingsError, loadSettings } from '../settings/index.js';
import { UsageError } from './daemon-command.js';
import { runAction } from './run-daemon.js';

/** Schemas of a program's daemons, by the names of their commands. */
export type DaemonSchemas = Readonly<Record<string, z.ZodType>>;

export function addCheckConfigCommand(cli: CAC, schemas: DaemonSchemas): void {
  const kinds = Object.keys(schemas).join(', ');
  cli
    .command('check-config <file>', 'Check a settings file and start nothing')
    .option('--kind <kind>', `One of ${kinds}; guessed from the file when left out`)
    .action((file: string, flags: { kind?: string }) =>
      runAction(() => {
        checkConfig(schemas, file, flags.kind);
        process.stdout.write(`${file}: ok\n`);
      }),
    );
}

/** @throws SettingsError for the kind that is asked for, or that comes nearest */
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
  // The kind with fewer complaints is the one that was meant.
  problems.sort((left, right) => left.message.length - right.message.length);
  throw problems[0]!;
}
