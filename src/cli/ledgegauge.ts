#!/usr/bin/env node
/** The `ledgegauge` command line. */
import { cac } from 'cac';
import { ControlProcess } from '../control/index.js';
import { GatewayProcess } from '../gateway/index.js';
import { controlSettingsSchema, gatewaySettingsSchema } from '../settings/index.js';
import { addCheckConfigCommand } from './check-config-command.js';
import { addDaemonCommand } from './daemon-command.js';
import { addAccountCommand } from './account-command.js';
import { addExplainCommand } from './explain-command.js';
import { addOperatorCommands } from './operator-commands.js';
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

addCheckConfigCommand(cli, { control: controlSettingsSchema, gateway: gatewaySettingsSchema });
addOperatorCommands(cli);
addExplainCommand(cli);
addAccountCommand(cli);

await runCommandLine(cli);
