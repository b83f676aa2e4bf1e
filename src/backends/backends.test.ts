/** The table of back ends, its subsets, and the questions for load. */
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

function engine(index: number, change: Partial<BackendIntent> = {}): BackendIntent {
  return {
    id: `e${index}`,
    kind: 'engine',
    zone: `zone-${index % 5}`,
    address: `h:${index + 1}`,
    models: ['m'],
    services: [],
    state: 'active',
    ...change,
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

describe('the table', () => {
  it('uses all engines of a small fleet', () => {
    const table = tableOf('gateway-1', 48);
    table.update(documentOf(10));
    expect(table.enginesFor('m')).toHaveLength(10);
  });

  it('takes a share of a large one, near engines first, and the previous one wherever it is', () => {
    const table = tableOf('gateway-1', 8);
    table.update(documentOf(1_000));
    const chosen = table.enginesFor('m');
    expect(chosen).toHaveLength(8);
    expect(chosen.every(({ intent }) => intent.zone === 'zone-2')).toBe(true);
    expect(table.enginesFor('m', 'e0').map(({ id }) => id)).toContain('e0');
  });

  it('spreads the shares of many gateways evenly', () => {
    const uses = new Map<string, number>();
    for (let index = 0; index < 200; index += 1) {
      const table = tableOf(`gateway-${index}`, 8);
      table.update(documentOf(200));
      for (const { id } of table.enginesFor('m')) uses.set(id, (uses.get(id) ?? 0) + 1);
    }
    // 40 near engines for 1,600 places: 40 each on average.
    expect(uses.size).toBe(40);
    expect(Math.max(...uses.values())).toBeLessThan(80);
    expect(Math.min(...uses.values())).toBeGreaterThan(15);
  });

  it('keeps what it knows of an engine over revisions, until its address changes', () => {
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

  it('marks what the platform calls leaving, also when it is used only later', () => {
    const table = tableOf('gateway-1', 1);
    table.update(documentOf(30));
    table.markLeaving(['e5']);
    expect(table.find('e5')!.takesNewWork).toBe(false);
    table.markLeaving([]);
    expect(table.find('e5')!.takesNewWork).toBe(true);
  });
});

describe('questions for load', () => {
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

  it('stay within their bound', async () => {
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

  it('are not sent to engines that reported with their answers', async () => {
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

  it('keep new work from an engine that does not answer, until it does', async () => {
    let isFrozen = true;
    const frozen = new Backend(engine(1), 1);
    const poller = startPoller([frozen], () =>
      isFrozen ? Promise.reject(new Error('silent')) : Promise.resolve(LOAD),
    );
    await vi.advanceTimersByTimeAsync(2_000);
    expect(frozen.takesNewWork).toBe(false);
    isFrozen = false;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(frozen.takesNewWork).toBe(true);
    poller.stop();
  });
});
