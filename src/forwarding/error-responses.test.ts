/**
 * Three engines of 32 failed all calls while their health looked good. They answered at once, so that by load and pace they
 * were the cheapest: of some 7,400 calls in 5.7 s 1,805 ended with their errors, where an even share would have been 690.
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
const SOUND_MS = 200;
const ERROR_MS = 4;
const CALL_EVERY_MS = 20;
const LENGTH_MS = 6_000;
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

/** @returns the share of calls that ended with an error */
function play(notesErrors: boolean): number {
  const random = new SeededRandom(2);
  const limits = { connections: () => 10, cacheTokens: () => 1e9, gateways: () => 1 };
  const view = new BackendView(limits);
  view.update(RECORDS);
  const placement = new Placement({ zone: 'z1', random: () => random.uniform() });
  let running: Call[] = [];
  let errors = 0;
  let calls = 0;
  for (let now = 0; now < LENGTH_MS; now += STEP_MS) {
    vi.advanceTimersByTime(STEP_MS);
    for (const { backend, endsAt } of running) if (endsAt <= now) end(backend, notesErrors);
    running = running.filter(({ endsAt }) => endsAt > now);
    if (now % CALL_EVERY_MS !== 0) continue;
    const call = callOf(calls);
    const candidates = view.serving('engines');
    const { backend } = placement.choose(candidates, { call, excluded: new Set() })!;
    backend.beginCall(call.promptParts);
    calls += 1;
    if (fails(backend)) errors += 1;
    running.push({ backend, endsAt: now + (fails(backend) ? ERROR_MS : SOUND_MS) });
  }
  return errors / calls;
}

function fails({ id }: BackendState): boolean {
  return Number(id.slice(1)) < FAILING;
}

function end(backend: BackendState, notesErrors: boolean): void {
  backend.noteDataReceived();
  backend.endCall();
  if (fails(backend) && notesErrors) backend.noteErrorResponse();
  else backend.noteSuccess();
}

describe('back ends that fail all calls at once', () => {
  it('get a fraction of their even share', () => {
    expect(play(true)).toBeLessThan(FAILING / ENGINES / 3);
  });

  it('get more than that where their errors are taken for answers', () => {
    expect(play(false)).toBeGreaterThan(FAILING / ENGINES / 2);
  });
});
