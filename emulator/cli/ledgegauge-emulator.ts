#!/usr/bin/env node
/** The `ledgegauge-emulator` command line: emulators of the platform's components. */
import { cac } from 'cac';
import { addCheckConfigCommand } from '../../src/cli/check-config-command.js';
import { addDaemonCommand } from '../../src/cli/daemon-command.js';
import { runCommandLine } from '../../src/cli/run-command-line.js';
import { EngineServer } from '../engine/engine-server.js';
import { engineSettingsSchema } from '../engine/engine-settings.js';
import { FaultProxy } from '../fault-proxy/fault-proxy.js';
import { faultProxySettingsSchema } from '../fault-proxy/fault-proxy-settings.js';
import { MachinesServer, machinesSettingsSchema } from '../machines/machines-server.js';
import { ServiceServer, serviceSettingsSchema } from '../service/service-server.js';
import { WeightsServer, weightsSettingsSchema } from '../weights/weights-server.js';

const cli = cac('ledgegauge-emulator');

addDaemonCommand(cli, {
  name: 'engine',
  description: 'Emulate a model engine',
  load: async () => ({
    schema: engineSettingsSchema,
    start: (settings, logger) => EngineServer.start(settings, logger),
  }),
});

for (const name of ['service', 'tool']) {
  addDaemonCommand(cli, {
    name,
    description: `Emulate a ${name}`,
    load: async () => ({
      schema: serviceSettingsSchema,
      start: (settings, logger) => ServiceServer.start(settings, logger),
    }),
  });
}

addDaemonCommand(cli, {
  name: 'weights',
  description: 'Emulate the rate-limited weight store',
  load: async () => ({
    schema: weightsSettingsSchema,
    start: (settings, logger) => WeightsServer.start(settings, logger),
  }),
});

addDaemonCommand(cli, {
  name: 'machines',
  description: "Emulate the platform's lagging list of machines",
  load: async () => ({
    schema: machinesSettingsSchema,
    start: (settings, logger) => MachinesServer.start(settings, logger),
  }),
});

addDaemonCommand(cli, {
  name: 'fault-proxy',
  description: 'Proxy TCP connections and inject faults into them',
  load: async () => ({
    schema: faultProxySettingsSchema,
    start: (settings, logger) => FaultProxy.start(settings, logger),
  }),
});

const schemas = {
  engine: engineSettingsSchema,
  service: serviceSettingsSchema,
  tool: serviceSettingsSchema,
  weights: weightsSettingsSchema,
  machines: machinesSettingsSchema,
  'fault-proxy': faultProxySettingsSchema,
};
addCheckConfigCommand(cli, Object.keys(schemas), async () => schemas);

await runCommandLine(cli);
