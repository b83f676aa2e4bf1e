/** Common part of the daemon commands: `--config`, overrides by flags, start. */
import type { CAC, Command } from 'cac';
import type { z } from 'zod';
import type { LogLevel, Logger } from '../observability/index.js';
import type { SettingOverride } from '../settings/index.js';
import { UsageError, runAction } from './run-action.js';
import type { Daemon } from './run-daemon.js';

interface DaemonFlags {
  config?: string;
  set?: string | string[];
}

interface CommonSettings {
  node: { name: string };
  log: { level: LogLevel };
}

/** What a daemon's command loads when it is run. */
export interface DaemonProgram<Schema extends z.ZodType> {
  schema: Schema;
  start: (
    settings: z.infer<Schema>,
    logger: Logger,
    onFatal: (error: unknown) => void,
  ) => Promise<Daemon>;
}

export interface DaemonCommand<Schema extends z.ZodType> {
  name: string;
  description: string;
  load: () => Promise<DaemonProgram<Schema>>;
}

export function addDaemonCommand<Schema extends z.ZodType<CommonSettings>>(
  cli: CAC,
  daemon: DaemonCommand<Schema>,
): Command {
  return cli
    .command(daemon.name, daemon.description)
    .option('--config <file>', 'Settings file (YAML)')
    .option('--set <path=value>', 'Override one setting; may be repeated')
    .action((flags: DaemonFlags) =>
      runAction(async () => {
        const { loadSettings } = await import('../settings/index.js');
        const { runDaemon } = await import('./run-daemon.js');
        const { schema, start } = await daemon.load();
        const settings = loadSettings(schema, requireConfig(flags), readOverrides(flags));
        await runDaemon({
          kind: daemon.name,
          name: settings.node.name,
          logLevel: settings.log.level,
          start: (logger, onFatal) => start(settings, logger, onFatal),
        });
      }),
    );
}

function requireConfig(flags: DaemonFlags): string {
  if (typeof flags.config !== 'string') throw new UsageError('--config FILE is required');
  return flags.config;
}

function readOverrides(flags: DaemonFlags): SettingOverride[] {
  const given = flags.set === undefined ? [] : [flags.set].flat();
  return given.map((text) => {
    const equals = text.indexOf('=');
    if (equals <= 0) throw new UsageError(`--set ${text}: must be path=value`);
    return { path: text.slice(0, equals), value: text.slice(equals + 1) };
  });
}
