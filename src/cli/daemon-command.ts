/** Common part of the daemon commands: `--config`, overrides by flags, start. */
import type { CAC, Command } from 'cac';
import type { z } from 'zod';
import { LedgegaugeError } from '../common/index.js';
import type { LogLevel, Logger } from '../observability/index.js';
import { type SettingOverride, loadSettings } from '../settings/index.js';
import { type Daemon, runAction, runDaemon } from './run-daemon.js';

interface DaemonFlags {
  config?: string;
  set?: string | string[];
}

interface CommonSettings {
  node: { name: string };
  log: { level: LogLevel };
}

export interface DaemonCommand<Schema extends z.ZodType> {
  name: string;
  description: string;
  schema: Schema;
  start: (
    settings: z.infer<Schema>,
    logger: Logger,
    onFatal: (error: unknown) => void,
  ) => Promise<Daemon>;
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
        const settings = loadSettings(daemon.schema, requireConfig(flags), readOverrides(flags));
        await runDaemon({
          kind: daemon.name,
          name: settings.node.name,
          logLevel: settings.log.level,
          start: (logger, onFatal) => daemon.start(settings, logger, onFatal),
        });
      }),
    );
}

/** Invalid usage of the command line. */
export class UsageError extends LedgegaugeError {
  constructor(message: string) {
    super(message, { step: 'cli.usage' });
  }
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
