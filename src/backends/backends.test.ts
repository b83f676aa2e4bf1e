/** Backend table, engine subsets and load polling. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  type BackendIntent,
  type IntentDocument,
  intentDocumentSchema,
  normalizeDocument,
} from '../intents/index.js';
import { Backend } from './backend.js';
import { BackendTable } from './backend-table.js';
import { LoadPoller } from './load-poller.js';
import type { LoadReport } from './load-report.js';

const LOAD: LoadReport = {
  waiting: 0,
  running: 0,
  pendingPrefillTokens: 0,
  usedBlocks: 0,
  capacityBlocks: 1,
};

function engine(index: number, overrides: Partial<BackendIntent> = {}): BackendIntent {
  return {
    id: `e${index}`,
    kind: 'engine',
    zone: `zone-${index % 5}`,
    address: `h:${index + 1}`,
    models: ['m'],
    services: [],
    state: 'active',
    ...overrides,
  };
}

function documentOf(engines: number): IntentDocument {
  const backends = Array.from({ length: engines }, (_, index) => engine(index));
  return normalizeDocument(intentDocumentSchema.parse({ models: [{ id: 'm' }], backends }));
}

function tableOf(name: string, engineSubset: number): BackendTable {
  const owner = { name, zone: 'zone-2' };
  return new BackendTable({ engineConcurrency: 4, serviceConcurrency: 4, engineSubset, owner });
}

describe('backend table', () => {
  it('uses all engines of a small fleet', () => {
    const table = tableOf('gateway-1', 48);
    table.update(documentOf(10));
    expect(table.enginesFor('m')).toHaveLength(10);
  });

  it('uses a subset of a large fleet, same zone first, plus the previous engine', () => {
    const table = tableOf('gateway-1', 8);
    table.update(documentOf(1_000));
    const chosen = table.enginesFor('m');
    expect(chosen).toHaveLength(8);
    expect(chosen.every(({ intent }) => intent.zone === 'zone-2')).toBe(true);
    expect(table.enginesFor('m', 'e0').map(({ id }) => id)).toContain('e0');
  });

  it('balances the subsets of many gateways', () => {
    const uses = new Map<string, number>();
    for (let index = 0; index < 200; index += 1) {
      const table = tableOf(`gateway-${index}`, 8);
      table.update(documentOf(200));
      for (const { id } of table.enginesFor('m')) uses.set(id, (uses.get(id) ?? 0) + 1);
    }
    // 200 gateways with 8 engines each over 40 engines of the zone: 40 per engine on average.
    expect(uses.size).toBe(40);
    expect(Math.max(...uses.values())).toBeLessThan(80);
    expect(Math.min(...uses.values())).toBeGreaterThan(15);
  });

  it('keeps the state of an engine across revisions until its address changes', () => {
    const table = tableOf('gateway-1', 48);
    table.update(documentOf(3));
    const known = table.find('e1')!;
    const changed = documentOf(3);
    changed.backends[1] = engine(1, { state: 'draining' });
    table.update(changed);
    expect(table.find('e1')).toBe(known);
    expect(known.takesNewWork).toBe(false);
    const moved = documentOf(3);
    moved.backends[1] = engine(1, { address: 'h:99' });
    table.update(moved);
    expect(table.find('e1')).not.toBe(known);
  });

  it('marks leaving machines, including backends first used later', () => {
    const table = tableOf('gateway-1', 1);
    table.update(documentOf(30));
    table.markLeaving(['e5']);
    expect(table.find('e5')!.takesNewWork).toBe(false);
    table.markLeaving([]);
    expect(table.find('e5')!.takesNewWork).toBe(true);
  });
});

describe('load polling', () => {
  beforeEach(() => vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'clearTimeout'] }));
  afterEach(() => vi.useRealTimers());

  function startPoller(engines: Backend[], fetchLoad: () => Promise<LoadReport>): LoadPoller {
    const poller = new LoadPoller({
      table: { watchedEngines: engines },
      maxAgeMs: 500,
      maxPollsPerSecond: 10,
      fetchLoad,
    });
    poller.start();
    return poller;
  }

  it('respects the rate limit', async () => {
    let polls = 0;
    const engines = Array.from({ length: 100 }, (_, index) => new Backend(engine(index), 1));
    const poller = startPoller(engines, () => {
      polls += 1;
      return Promise.resolve(LOAD);
    });
    await vi.advanceTimersByTimeAsync(10_000);
    poller.stop();
    expect(polls).toBeGreaterThan(90);
    expect(polls).toBeLessThanOrEqual(101);
  });

  it('skips engines that reported with their responses', async () => {
    let polls = 0;
    const busy = new Backend(engine(1), 1);
    busy.noteReport(LOAD);
    const poller = startPoller([busy], () => {
      polls += 1;
      return Promise.resolve(LOAD);
    });
    for (let step = 0; step < 40; step += 1) {
      busy.noteReport(LOAD);
      await vi.advanceTimersByTimeAsync(100);
    }
    poller.stop();
    expect(polls).toBe(0);
  });

  it('withholds new work from an engine that does not respond, until it does', async () => {
    let isFrozen = true;
    const frozen = new Backend(engine(1), 1);
    const poller = startPoller([frozen], () =>
      isFrozen ? Promise.reject(new Error('no response')) : Promise.resolve(LOAD),
    );
    await vi.advanceTimersByTimeAsync(2_000);
    expect(frozen.takesNewWork).toBe(false);
    isFrozen = false;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(frozen.takesNewWork).toBe(true);
    poller.stop();
  });
});
