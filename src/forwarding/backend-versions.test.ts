/** Backends that report no software version must not count as able to continue each other's streams. */
import { expect, it } from 'vitest';
import { BackendView } from './backend-view.js';
import { ForwardingMetrics } from './forwarding-metrics.js';

const LIMITS = { connections: () => 1, cacheTokens: () => Infinity, gateways: () => 1 };

function viewOf(versions: (string | undefined)[]): BackendView {
  const view = new BackendView(LIMITS);
  view.update(
    versions.map((softwareVersion, index) => ({
      id: `e${index}`,
      name: `e${index}`,
      service: 's',
      address: `10.0.0.${index}:80`,
      zone: 'z1',
      slots: 1,
      phase: index === 0 ? ('draining' as const) : ('ready' as const),
      softwareVersion,
      sequence: 1,
      isSilent: false,
    })),
  );
  return view;
}

const VIEW = viewOf(['v3', 'v1', 'v2', 'v2', undefined, undefined]);

it('groups the backends that accept new calls by version, those of most backends first', () => {
  expect(VIEW.versions('s')).toEqual(['version v2', 'version v1', 'backend e4', 'backend e5']);
  expect(VIEW.serving('s', 'version v2').map(({ id }) => id)).toEqual(['e2', 'e3']);
  expect(VIEW.serving('s', 'backend e5').map(({ id }) => id)).toEqual(['e5']);
  expect(VIEW.serving('s', 'version v3')).toEqual([]);
  expect(VIEW.serving('s')).toHaveLength(5);
  expect(VIEW.registeredVersions(['s'])).toHaveLength(5);
});

it('forgets the versions of backends that are gone', () => {
  const view = viewOf(['v1', 'v1', 'v2']);
  expect(view.versions('s')).toEqual(['version v1', 'version v2']);
  view.drop('e1');
  expect(view.versions('s')).toEqual(['version v2']);
});

it('counts backends without a version together in the metrics', async () => {
  const metrics = new ForwardingMetrics();
  metrics.addBackendsGauge(() => VIEW.countByVersion());
  for (let scrapes = 0; scrapes < 2; scrapes += 1) {
    const text = await metrics.registry.metrics();
    expect(text).toContain('ledgegauge_backends{service="s",version="unknown"} 2');
    expect(text).toContain('ledgegauge_backends{service="s",version="v2"} 2');
  }
});
