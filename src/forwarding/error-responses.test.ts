/**
 * Regression test: backends that failed all calls immediately looked fast and idle, so that placement preferred them.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { sampleCall } from '../../tests/support/sample-call.js';
import { SeededRandom } from '../common/index.js';
import type { BackendRecord } from '../directory/index.js';
import { type BackendState, BackendView } from './backend-view.js';
import type { CallDescription } from './call-exchange.js';
import { Placement } from './placement.js';

const ENGINES = 32;
const FAILING = 3;
const SUCCESS_MS = 200;
const ERROR_MS = 4;
const CALL_INTERVAL_MS = 20;
const DURATION_MS = 6_000;
const STEP_MS = 1;

const RECORDS = Array.from({ length: ENGINES }, (_, index): BackendRecord => ({
  id: `e${index}`,
  name: `e${index}`,
  service: 'engines',
  address: `127.0.0.1:${1_000 + index}`,
  zone: `z${index % 3}`,
  slots: 12,
  phase: 'ready',
  sequence: 1,
  isSilent: false,
}));

interface Call {
  backend: BackendState;
  endsAt: number;
}

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

function callOf(program: number): CallDescription {
  return sampleCall({
    program: { id: `p${program}` },
    mostTokens: 100,
    promptParts: [
      { id: `shared-${program % 3}`, tokens: 12_000 },
      { id: `own-${program}`, tokens: 800 },
    ],
  });
}

/** @returns the fraction of calls that failed */
function errorRate(recordsErrors: boolean): number {
  const random = new SeededRandom(2);
  const limits = { connections: () => 10, cacheTokens: () => 1e9, gateways: () => 1 };
  const view = new BackendView(limits);
  view.update(RECORDS);
  const placement = new Placement({ zone: 'z1', random: () => random.uniform() });
  let running: Call[] = [];
  let errors = 0;
  let calls = 0;
  for (let now = 0; now < DURATION_MS; now += STEP_MS) {
    vi.advanceTimersByTime(STEP_MS);
    for (const { backend, endsAt } of running) if (endsAt <= now) end(backend, recordsErrors);
    running = running.filter(({ endsAt }) => endsAt > now);
    if (now % CALL_INTERVAL_MS !== 0) continue;
    const call = callOf(calls);
    const candidates = view.serving('engines');
    const { backend } = placement.choose(candidates, { call, excluded: new Set() })!;
    backend.beginCall(call.promptParts);
    calls += 1;
    if (fails(backend)) errors += 1;
    running.push({ backend, endsAt: now + (fails(backend) ? ERROR_MS : SUCCESS_MS) });
  }
  return errors / calls;
}

function fails({ id }: BackendState): boolean {
  return Number(id.slice(1)) < FAILING;
}

function end(backend: BackendState, recordsErrors: boolean): void {
  backend.noteDataReceived();
  backend.endCall();
  if (fails(backend) && recordsErrors) backend.noteErrorResponse();
  else backend.noteSuccess();
}

describe('backends that fail all calls immediately', () => {
  it('get far fewer calls than an even distribution', () => {
    expect(errorRate(true)).toBeLessThan(FAILING / ENGINES / 3);
  });

  it('get more calls if error responses count as successes', () => {
    expect(errorRate(false)).toBeGreaterThan(FAILING / ENGINES / 2);
  });
});
