/** Delay and number of the responses that publish backend changes, on simulated time. */
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import type { BackendRegistration } from './backend-registration.js';
import { BackendCache } from './backend-cache.js';
import { INITIAL_KNOWN_VERSIONS } from './messages.js';
import { unpackJson } from './packed-json.js';

const BACKENDS = 300;
/** Time between two registrations, in milliseconds. */
const PAUSE_MS = 4;
/** One response per 100 ms, plus one each at the beginning and the end. */
const MAX_RESPONSES = (BACKENDS * PAUSE_MS) / 100 + 2;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});
afterEach(() => {
  vi.useRealTimers();
});

class Gateway {
  responses = 0;
  private readonly held = new BackendCache();
  private cluster = '';

  constructor(private readonly directory: CommittingDirectory) {}

  get backends(): BackendRegistration[] {
    return this.held.records();
  }

  /** Sends watch requests continuously, over links without latency. */
  async watchContinuously(): Promise<void> {
    for (;;) await this.watch(false);
  }

  async watch(isUrgent: boolean): Promise<void> {
    const { index: backendsIndex, silence } = this.held;
    const view = await this.directory.leader.watch({
      node: { name: 'gateway-1', role: 'gateway', address: 'g:1', zone: 'z' },
      known: { ...INITIAL_KNOWN_VERSIONS, backendsIndex, silence, cluster: this.cluster },
      isUrgent,
      loads: [],
    });
    if (view.backends && view.backends.index > backendsIndex) this.responses += 1;
    if (view.backends) this.held.apply(view.backends);
    if (view.silence) this.held.applySilenceDelta(unpackJson(view.silence));
    this.cluster = view.cluster?.version ?? this.cluster;
  }
}

function backend(number: number): BackendRegistration {
  return sampleRegistration({ name: `i-${number}`, address: `127.0.0.1:${number + 1}` });
}

/** Runs everything that is pending, without advancing simulated time. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => setImmediate(resolve));
}

it('many registrations are published in few responses', async () => {
  const directory = new CommittingDirectory();
  const gateway = new Gateway(directory);
  void gateway.watchContinuously();
  for (let number = 0; number < BACKENDS; number += 1) {
    await directory.leader.recordHeartbeat(backend(number));
    await vi.advanceTimersByTimeAsync(PAUSE_MS);
  }
  await vi.advanceTimersByTimeAsync(1_000);
  await settle();
  expect(gateway.backends).toHaveLength(BACKENDS);
  expect(gateway.responses).toBeLessThanOrEqual(MAX_RESPONSES);
});

it('a drain is published at once, also right after other updates', async () => {
  const directory = new CommittingDirectory();
  const gateway = new Gateway(directory);
  await gateway.watch(true);
  void gateway.watchContinuously();
  for (const number of [0, 1]) {
    await directory.leader.recordHeartbeat(backend(number));
    await settle();
  }
  expect(gateway.backends).toHaveLength(1);
  void directory.leader.recordHeartbeat({ ...backend(0), phase: 'draining', sequence: 2 });
  await settle();
  expect(gateway.backends.map(({ phase }) => phase)).toEqual(['draining', 'ready']);
});
