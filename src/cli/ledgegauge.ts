#!/usr/bin/env node
/** The `ledgegauge` command line. Each command loads only what it needs, so that one is in time on a busy machine. */
import { cac } from 'cac';
import { addAccountCommand } from './account-command.js';
import { addCheckConfigCommand } from './check-config-command.js';
import { addDaemonCommand } from './daemon-command.js';
import { addExplainCommand } from './explain-command.js';
import { addOperatorCommands } from './operator-commands.js';
import { runCommandLine } from './run-command-line.js';

const cli = cac('ledgegauge');

addDaemonCommand(cli, {
  name: 'gateway',
  description: 'Serve callers',
  load: async () => {
    const { GatewayProcess } = await import('../gateway/index.js');
    const { gatewaySettingsSchema: schema } = await import('../settings/index.js');
    return { schema, start: (settings, logger) => GatewayProcess.start(settings, logger) };
  },
});

addDaemonCommand(cli, {
  name: 'control',
  description: 'Keep the replicated state; serve operators',
  load: async () => {
    const { ControlProcess } = await import('../control/index.js');
    const { controlSettingsSchema: schema } = await import('../settings/index.js');
    return {
      schema,
      start: (settings, logger, onFatal) => ControlProcess.start(settings, { logger, onFatal }),
    };
  },
});

addCheckConfigCommand(cli, ['control', 'gateway'], async () => {
  const { controlSettingsSchema, gatewaySettingsSchema } = await import('../settings/index.js');
  return { control: controlSettingsSchema, gateway: gatewaySettingsSchema };
});
addOperatorCommands(cli);
addExplainCommand(cli);
addAccountCommand(cli);

await runCommandLine(cli);
