#!/usr/bin/env node
/** The `ledgegauge` command line. */
import { cac } from 'cac';
import { ControlProcess } from '../control/index.js';
import { GatewayProcess } from '../gateway/index.js';
import {
  SettingsError,
  controlSettingsSchema,
  gatewaySettingsSchema,
  loadSettings,
} from '../settings/index.js';
import { addDaemonCommand } from './daemon-command.js';
import { addOperatorCommands } from './operator-commands.js';
import { runAction } from './run-daemon.js';
import { runCommandLine } from './run-command-line.js';

const cli = cac('ledgegauge');

addDaemonCommand(cli, {
  name: 'gateway',
  description: 'Serve callers',
  schema: gatewaySettingsSchema,
  start: (settings, logger) => GatewayProcess.start(settings, logger),
});

addDaemonCommand(cli, {
  name: 'control',
  description: 'Keep the replicated state; serve operators',
  schema: controlSettingsSchema,
  start: (settings, logger, onFatal) => ControlProcess.start(settings, { logger, onFatal }),
});

cli
  .command('check-config <file>', 'Check a settings file and start nothing')
  .option('--kind <kind>', 'control or gateway; guessed from the file when left out')
  .action((file: string, flags: { kind?: string }) =>
    runAction(() => checkConfig(file, flags.kind)),
  );

addOperatorCommands(cli);

function checkConfig(file: string, kind: string | undefined): void {
  const schemas = { control: controlSettingsSchema, gateway: gatewaySettingsSchema };
  if (kind === 'control' || kind === 'gateway') {
    loadSettings(schemas[kind], file);
  } else {
    const problems: SettingsError[] = [];
    for (const schema of Object.values(schemas)) {
      try {
        loadSettings(schema, file);
        process.stdout.write(`${file}: ok\n`);
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
  process.stdout.write(`${file}: ok\n`);
}

await runCommandLine(cli);
