/** What a gateway that has just started may begin calls with: all of its leader's first answer, or nothing. */
import { expect, it } from 'vitest';
import { waitUntil } from '../../tests/support/wait-until.js';
import { SignalEvent } from '../common/index.js';
import { createLogger } from '../observability/index.js';
import type { RouteConfiguration } from '../routes/index.js';
import type { DirectoryClient } from './directory-client.js';
import { DirectoryWatcher } from './directory-watcher.js';
import { packSums } from './load-totals.js';
import type { ClusterView, DirectoryView } from './messages.js';
import { packConfiguration } from './packed-configuration.js';

const CLUSTER: ClusterView = {
  version: '1.1',
  controlAddresses: [],
  ledgerAddresses: [],
  ledgerFounders: [],
  retirements: [],
  gatewayCount: 7,
};
const CONFIGURATION: RouteConfiguration = {
  generation: 1,
  routes: [],
  services: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

// A gateway that took itself for the only one would take the whole connection limit of each backend.
it('a call that waits for the first configuration goes on with the cluster and loads that came with it', async () => {
  const view: DirectoryView = {
    confirmedAgeMs: 0,
    configuration: { index: 1, routes: packConfiguration(CONFIGURATION, '').routes },
    cluster: CLUSTER,
    backends: { index: 1, pieces: [] },
    loads: { sums: packSums(new Map([['e1', 3]])), own: [] },
  };
  let answers = 0;
  const client = {
    watch: async () => {
      answers += 1;
      if (answers > 1) return new Promise(() => undefined);
      return view;
    },
  } as unknown as DirectoryClient;
  const configured = new SignalEvent();
  const applied: string[] = [];
  const watcher = new DirectoryWatcher({
    client,
    announce: () => ({ name: 'gateway-1', role: 'gateway', address: 'a:1', zone: 'z' }),
    logger: createLogger({ level: 'silent' }),
    onCluster: ({ gatewayCount }) => void applied.push(`cluster of ${gatewayCount}`),
    onBackends: () => void applied.push('backends'),
    onConfiguration: () => {
      applied.push('configuration');
      configured.notify();
    },
    onOtherLoads: () => void applied.push('loads'),
  });
  void configured.wait().then(() => applied.push('call'));
  watcher.start();
  await waitUntil('call began', () => applied.includes('call'), 2_000);
  watcher.stop();
  expect(applied).toEqual(['cluster of 7', 'backends', 'configuration', 'loads', 'call']);
});
