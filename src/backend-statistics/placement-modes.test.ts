/** Placement with shared statistics in both scheduling modes. */
import { describe, expect, it } from 'vitest';
import { sampleCall } from '../../tests/support/sample-call.js';
import { SeededRandom } from '../common/index.js';
import type { BackendRecord } from '../directory/index.js';
import { BackendView, Placement } from '../forwarding/index.js';
import type { SchedulingMode } from '../routes/index.js';
import { BackendStatistics } from './backend-statistics.js';
import { type BackendCondition, packConditions } from './messages.js';

const SERVICE = 'engines';
const CALLS = 300;

function records(): BackendRecord[] {
  return Array.from({ length: 9 }, (_, index) => ({
    id: `e${index}`,
    name: `e${index}`,
    service: SERVICE,
    address: `127.0.0.1:${1_000 + index}`,
    zone: index < 4 ? 'z1' : 'z2',
    slots: 6,
    phase: 'ready' as const,
    sequence: 1,
    isSilent: false,
  }));
}

function gateway(mode: SchedulingMode | undefined, conditions: BackendCondition[] = []) {
  const statistics = mode && new BackendStatistics({ zone: 'z1' });
  if (mode) statistics?.setMode(mode);
  statistics?.apply(packConditions(conditions));
  const limits = { connections: () => 100, cacheTokens: () => 50_000, gateways: () => 60 };
  const view = new BackendView(limits, statistics);
  view.update(records());
  const random = new SeededRandom(7);
  const placement = new Placement({ zone: 'z1', statistics, random: () => random.uniform() });
  const choose = (call: ReturnType<typeof sampleCall>) =>
    placement.choose(view.serving(SERVICE), { call, excluded: new Set(), mayProbe: true })!.backend;
  return { view, choose };
}

function modelCall(index: number, tokens = 2_000) {
  const promptParts = [
    { id: `shared-${index % 3}`, tokens: 1_000 },
    { id: `own-${index}`, tokens },
  ];
  return sampleCall({ program: { id: `p${index}` }, mostTokens: 100, promptParts });
}

/** Backends selected for a sequence of calls that leave some load behind. */
function selections(mode: SchedulingMode | undefined): string[] {
  const { view, choose } = gateway(mode, [{ id: 'e1', slowdown: 5, failingZones: ['*'] }]);
  return Array.from({ length: CALLS }, (_, index) => {
    if (index % 20 === 0) {
      view.updateOtherLoads(records().map(({ id }, at) => ({ id, inFlight: (index + at) % 7 })));
    }
    const call = index % 2 === 0 ? modelCall(index) : sampleCall({ affinityKey: `k${index}` });
    const backend = choose(call);
    backend.beginCall(call.promptParts);
    const work = { missingTokens: 500, load: backend.load, events: 5 };
    backend.noteDuration(work, 100 + ((index * 37) % 90), false);
    if (index % 3 > 0) backend.endCall();
    return backend.id;
  });
}

describe('placement with shared statistics', () => {
  it('decides in independent mode as without them', () => {
    const without = selections(undefined);
    expect(selections('independent')).toEqual(without);
    expect(selections('coordinated')).not.toEqual(without);
  });

  it('applies the slowdown to the first call of a gateway to an engine', () => {
    const slow = ['e0', 'e1', 'e2', 'e3', 'e5', 'e6', 'e7', 'e8'];
    const { choose } = gateway(
      'coordinated',
      slow.map((id) => ({ id, slowdown: 4 })),
    );
    const chosen = Array.from({ length: CALLS }, (_, index) => choose(modelCall(index)).id);
    const fast = chosen.filter((id) => id === 'e4').length;
    // Engine e4 is among the candidates of most calls, since five of nine are drawn.
    expect(fast).toBeGreaterThan(CALLS * 0.55);
  });

  it('avoids a failing engine except for probes', () => {
    const { choose } = gateway('coordinated', [{ id: 'e1', failingZones: ['z1'] }]);
    const chosen = Array.from({ length: CALLS }, (_, index) => choose(modelCall(index)).id);
    const probes = chosen.filter((id) => id === 'e1').length;
    expect(probes).toBeGreaterThan(0);
    expect(probes).toBeLessThan(CALLS * 0.05);
  });

  it('avoids engines whose cache is filled by the tokens of calls in flight', () => {
    const { view, choose } = gateway('coordinated');
    for (const backend of view.serving(SERVICE)) {
      backend.beginCall(modelCall(0, 8_000).promptParts);
      backend.tokensInFlight = backend.id === 'e2' ? 1_000 : 49_000;
    }
    const chosen = Array.from({ length: CALLS }, (_, index) => choose(modelCall(index, 30_000)).id);
    expect(chosen.filter((id) => id === 'e2').length).toBeGreaterThan(CALLS * 0.55);
  });
});
