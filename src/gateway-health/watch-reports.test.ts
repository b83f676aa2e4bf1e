/** Health in watch requests, with a real leader and real watchers that call it directly. */
import { expect, it, onTestFinished } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';
import {
  type DirectoryClient,
  type DirectoryView,
  DirectoryWatcher,
  type WatchRequest,
} from '../directory/index.js';
import { createLogger } from '../observability/index.js';
import type { HealthReport, ZoneHealth } from './messages.js';

const RUN_MS = 600;
const OVERLOADED: HealthReport = { isOverloaded: true, hasLeft: false };

class Gateway {
  health: HealthReport | undefined;
  readonly requests: WatchRequest[] = [];
  readonly views: DirectoryView[] = [];
  zoneHealth: ZoneHealth | undefined;

  constructor(name: string, directory: CommittingDirectory) {
    const client = {
      watch: async (request: WatchRequest) => {
        this.requests.push(request);
        const view = await directory.leader.watch(request);
        this.views.push(view);
        return view;
      },
    };
    const watcher = new DirectoryWatcher({
      client: client as unknown as DirectoryClient,
      announce: () => ({ name, role: 'gateway', address: `${name}:1`, zone: 'z1' }),
      health: () => this.health,
      logger: createLogger({}),
      onZoneHealth: (zoneHealth) => (this.zoneHealth = zoneHealth),
    });
    watcher.start();
    onTestFinished(() => watcher.stop());
  }
}

function startZone(count: number): { directory: CommittingDirectory; gateways: Gateway[] } {
  const directory = new CommittingDirectory();
  const gateways = Array.from({ length: count }, (_, index) => new Gateway(`g${index}`, directory));
  return { directory, gateways };
}

it('requests and answers of gateways that are not overloaded have no additional fields', async () => {
  const { gateways } = startZone(3);
  await sleep(RUN_MS);
  for (const { requests, views } of gateways) {
    expect(requests.length).toBeGreaterThan(1);
    for (const request of requests) expect('health' in request).toBe(false);
    for (const view of views) expect('zoneHealth' in view).toBe(false);
  }
});

it('only overloaded gateways get an answer, and a third of the zone may leave', async () => {
  const { gateways } = startZone(6);
  await sleep(RUN_MS);
  const overloaded = gateways.slice(0, 4);
  for (const gateway of overloaded) gateway.health = OVERLOADED;
  await waitUntil('answered', () =>
    overloaded.every(({ zoneHealth }) => zoneHealth?.overloaded === 4),
  );
  expect(overloaded.filter(({ zoneHealth }) => zoneHealth!.mayLeave)).toHaveLength(2);
  expect(gateways.slice(4).every(({ zoneHealth }) => zoneHealth === undefined)).toBe(true);
});

it('a new leader permits none to leave before it has the reports of all', async () => {
  const { directory, gateways } = startZone(3);
  await sleep(RUN_MS);
  directory.leader.onLeadershipChange();
  gateways[0]!.health = OVERLOADED;
  await waitUntil('answered', () => gateways[0]!.zoneHealth !== undefined);
  expect(gateways[0]!.zoneHealth!.mayLeave).toBe(false);
  await waitUntil('permitted', () => gateways[0]!.zoneHealth!.mayLeave);
});
