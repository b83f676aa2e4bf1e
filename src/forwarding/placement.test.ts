import { describe, expect, it } from 'vitest';
import { sampleCall } from '../../tests/support/sample-call.js';
import { rankForKey, SeededRandom, sleep } from '../common/index.js';
import type { BackendRecord } from '../directory/index.js';
import { type BackendState, BackendView } from './backend-view.js';
import type { CallDescription } from './call-exchange.js';
import { Placement } from './placement.js';

const SERVICE = 'engines';
const ENGINES = 10;
const SLOTS = 12;
const NOTHING_EXCLUDED: ReadonlySet<string> = new Set();
const SEED = 1;

function records(overrides: Partial<BackendRecord> = {}): BackendRecord[] {
  return Array.from({ length: ENGINES }, (_, index) => ({
    id: `e${index}`,
    name: `e${index}`,
    service: SERVICE,
    address: `127.0.0.1:${1_000 + index}`,
    zone: 'z1',
    slots: SLOTS,
    phase: 'ready' as const,
    sequence: 1,
    isSilent: false,
    ...overrides,
  }));
}

function turn(program: string, parts: [string, number][]): CallDescription {
  return sampleCall({
    program: { id: program },
    mostTokens: 100,
    promptParts: parts.map(([id, tokens]) => ({ id, tokens })),
  });
}

const NO_LIMITS = {
  connections: () => 100,
  cacheTokens: () => 500_000,
  gateways: () => 1,
};

/** Trains the latency model with engines that prefill 250 tokens per millisecond. */
function train(view: BackendView): void {
  const { model } = view.serving(SERVICE)[0]!;
  for (let call = 0; call < 200; call += 1) {
    const work = { missingTokens: (call * 37) % 8_000, load: call % 13, events: 5 + (call % 7) };
    const { missingTokens, load, events } = work;
    model.observe(work, 20 + missingTokens / 250 + events * (20 + load), SLOTS);
  }
}

function gateway(engines = records(), random = new SeededRandom(SEED)) {
  const view = new BackendView(NO_LIMITS);
  view.update(engines);
  train(view);
  const placement = new Placement({ zone: 'z1', random: () => random.uniform() });
  const choose = (call: CallDescription, promptHolder?: string) =>
    placement.choose(view.serving(SERVICE), { call, excluded: NOTHING_EXCLUDED, promptHolder })!
      .backend;
  return { view, choose };
}

/** The engine of the gateway's zone that the hash of a shared prefix ranks first. */
function firstPreferred(view: BackendView, prefix: number): BackendState {
  const near = view.serving(SERVICE).filter(({ record }) => record.zone === 'z1');
  return rankForKey(`shared-${prefix}`, near, ({ id }) => id)[0]!;
}

describe('placement', () => {
  it('keeps a program on the backend with its cached prompt', () => {
    const { choose } = gateway();
    const first = choose(
      turn('p', [
        ['shared', 12_000],
        ['own', 800],
      ]),
    );
    first.beginCall([
      { id: 'shared', tokens: 12_000 },
      { id: 'own', tokens: 800 },
    ]);
    first.endCall();
    for (let round = 0; round < 20; round += 1) {
      const next = turn('p', [
        ['shared', 12_000],
        ['own', 800],
        [`turn-${round}`, 300],
      ]);
      expect(choose(next).id).toBe(first.id);
    }
  });

  it('places programs with the same prefix on few engines, at any gateway', () => {
    const prefixes = 20;
    const programs = 30;
    const inTwoZones = records().map((record, index) => ({
      ...record,
      zone: index < 3 ? 'z1' : 'z2',
    }));
    let engines = 0;
    for (let prefix = 0; prefix < prefixes; prefix += 1) {
      const chosen = new Set<string>();
      for (let program = 0; program < programs; program += 1) {
        const { view, choose } = gateway(inTwoZones);
        for (const state of view.serving(SERVICE)) state.otherInFlight = 4;
        const own = `own-${program}`;
        const preferred = firstPreferred(view, prefix);
        preferred.beginCall([{ id: `shared-${prefix}`, tokens: 12_000 }]);
        preferred.endCall();
        const parts: [string, number][] = [
          [`shared-${prefix}`, 12_000],
          [own, 800],
        ];
        chosen.add(choose(turn(`program-${program}`, parts)).id);
      }
      engines += chosen.size;
    }
    expect(engines / prefixes).toBeLessThan(2);
  });

  it('sends a turn to the backend of the previous turns, even if they came through another gateway', () => {
    for (let engine = 0; engine < ENGINES; engine += 1) {
      const { choose } = gateway();
      const call = turn('p', [
        ['shared', 12_000],
        ['first', 3_000],
        ['second', 800],
      ]);
      expect(choose(call, `e${engine}`).id).toBe(`e${engine}`);
    }
  });

  it('leaves the backend with the cached prompt if it is full, suspect or removed', () => {
    const { view, choose } = gateway();
    const call = turn('p', [
      ['shared', 2_000],
      ['first', 800],
      ['second', 100],
    ]);
    const [full, failed] = view.serving(SERVICE);
    full!.inFlight = SLOTS + 5;
    failed!.noteFailure();
    expect(choose(call, full!.id).id).not.toBe(full!.id);
    expect(choose(call, failed!.id).id).not.toBe(failed!.id);
    expect(choose(call, 'gone')).toBeDefined();
  });

  it('leaves the backend with the cached prompt if queueing costs more', () => {
    const { choose } = gateway();
    const parts: [string, number][] = [
      ['shared', 2_000],
      ['own', 800],
      ['more', 100],
    ];
    const preferred = choose(turn('p', parts));
    preferred.beginCall(turn('p', parts).promptParts);
    preferred.inFlight = SLOTS + 5;
    const moved = Array.from({ length: 10 }, () => choose(turn('p', parts)).id);
    expect(moved).not.toContain(preferred.id);
  });

  it('avoids suspect backends unless there are no others', () => {
    const { view, choose } = gateway();
    const [first, ...others] = view.serving(SERVICE);
    for (const other of others) other.noteFailure();
    expect(choose(turn('p', [['a', 10]])).id).toBe(first!.id);
    first!.noteFailure();
    expect(choose(turn('p', [['a', 10]]))).toBeDefined();
  });

  it('avoids an unresponsive backend with calls in flight', async () => {
    const { view, choose } = gateway();
    // Prefill without the cache costs far more than one concurrent call and the random tie-breaker.
    const call = turn('p', [
      ['shared', 20_000],
      ['first', 800],
      ['second', 100],
    ]);
    const [unresponsive, busy] = view.serving(SERVICE);
    unresponsive!.beginCall([]);
    busy!.beginCall([]);
    await sleep(800);
    busy!.noteDataReceived();
    expect(choose(call, unresponsive!.id).id).not.toBe(unresponsive!.id);
    expect(choose(call, busy!.id).id).toBe(busy!.id);
    unresponsive!.endCall();
    expect(choose(call, unresponsive!.id).id).toBe(unresponsive!.id);
  });

  it('selects no backend that is draining or has no free connection', () => {
    const view = new BackendView({ ...NO_LIMITS, connections: () => 0 });
    view.update(records());
    const random = new SeededRandom(SEED);
    const placement = new Placement({ zone: 'z1', random: () => random.uniform() });
    const call = turn('p', [['a', 10]]);
    const request = { call, excluded: NOTHING_EXCLUDED };
    expect(placement.choose(view.serving(SERVICE), request)).toBeUndefined();
    view.update(records({ phase: 'draining' }));
    expect(view.serving(SERVICE)).toHaveLength(0);
  });

  it('does not send all calls to the engine with the lowest outdated load', () => {
    const counts = new Map<string, number>();
    // Three engines are not preferred for this prefix and are only selected at random.
    const programs = 1_000;
    const random = new SeededRandom(SEED);
    for (let index = 0; index < programs; index += 1) {
      const { view, choose } = gateway(records(), random);
      view.updateOtherLoads(records().map(({ id }) => ({ id, inFlight: id === 'e3' ? 2 : 5 })));
      const { id } = choose(
        turn(`program-${index}`, [
          ['shared', 12_000],
          ['own', 800],
        ]),
      );
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    expect(Math.max(...counts.values())).toBeLessThan(programs / 2);
    expect(counts.size).toBe(ENGINES);
  });
});
