/** `check-config`: validates a settings file without starting a daemon. */
import type { CAC } from 'cac';
import type { z } from 'zod';
import { SettingsError } from '../settings/errors.js';
import { UsageError, runAction } from './run-action.js';

/** Settings schemas of a program's daemons, by command name. */
export type DaemonSchemas = Readonly<Record<string, z.ZodType>>;

/**
 * @param daemons names of the daemon commands
 * @param loadSchemas called when the command is run
 */
export function addCheckConfigCommand(
  cli: CAC,
  daemons: readonly string[],
  loadSchemas: () => Promise<DaemonSchemas>,
): void {
  const kinds = daemons.join(', ');
  cli
    .command('check-config <file>', 'Validate a settings file without starting a daemon')
    .option('--kind <kind>', `One of ${kinds}; detected from the file by default`)
    .action((file: string, flags: { kind?: string }) =>
      runAction(async () => {
        await checkConfig(await loadSchemas(), file, flags.kind);
        process.stdout.write(`${file}: ok\n`);
      }),
    );
}

/** @throws SettingsError for the given kind, or for the kind that matches best */
async function checkConfig(
  schemas: DaemonSchemas,
  file: string,
  kind: string | undefined,
): Promise<void> {
  const { loadSettings } = await import('../settings/index.js');
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
