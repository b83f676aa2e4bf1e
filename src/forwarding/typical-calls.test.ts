/** Guards against learning the service time from calls that end far sooner or later than an answered one. */
import { afterEach, expect, it } from 'vitest';
import {
  RawBackend,
  type ScriptStep,
  close,
  reset,
  wait,
  write,
} from '../../tests/support/raw-backend.js';
import { identityHeaderLines, rawProtocol } from '../../tests/support/raw-sends.js';
import { sampleCall } from '../../tests/support/sample-call.js';
import { monotonicMs } from '../common/index.js';
import { CompiledRoute, DEFAULT_RESPONSE_LIMITS, type Route } from '../routes/index.js';
import { BackendView } from './backend-view.js';
import type { CallExchange } from './call-exchange.js';
import { CallRun } from './call-run.js';
import { Placement } from './placement.js';
import { StreamVersion } from './stream-version.js';

const ROUTE: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'repeatable',
  timeoutMs: 1_000,
  objectiveMs: 300,
  priority: 0,
  parts: [{ service: 's', weight: 1 }],
  maxAttempts: 2,
  retainsTurns: false,
  retentionMs: 0,
  hasSessionAffinity: false,
  isResumable: false,
};

/** More than a buffered response holds. */
const LONG_BYTES = 400_000;

let backend: RawBackend | undefined;
afterEach(() => backend?.stop());

function answer(status: number): ScriptStep[] {
  const head = [`HTTP/1.1 ${status} X`, ...identityHeaderLines('a'), 'Content-Length: 2'];
  return [write(`${head.join('\r\n')}\r\n\r\nok`)];
}

function exchangeOf(isPausing: boolean): CallExchange {
  let isPaused = isPausing;
  let onDrained = (): void => undefined;
  return {
    arrivedAt: monotonicMs(),
    description: sampleCall({ id: 'a' }),
    isAbandoned: false,
    onAbandoned: () => undefined,
    begin: () => undefined,
    write: () => {
      if (!isPaused) return true;
      isPaused = false;
      setTimeout(() => onDrained(), 10);
      return false;
    },
    onDrained: (listener: () => void) => (onDrained = listener),
    end: () => undefined,
    abort: () => undefined,
    refuse: () => undefined,
  } as unknown as CallExchange;
}

type Script = (requestNumber: number) => ScriptStep[];

/** Runs a call on a backend with the given script. @returns how its permit was ended */
async function endOf(scriptOf: Script, isPausing = false): Promise<unknown[]> {
  await backend?.stop();
  backend = await RawBackend.start((_request, number) => scriptOf(number));
  const limits = { connections: () => 1, cacheTokens: () => Infinity, gateways: () => 1 };
  const view = new BackendView(limits);
  const identity = { id: 'e1', name: 'e1', service: 's', address: backend.address, zone: 'z' };
  const state = { slots: 6, phase: 'ready' as const, sequence: 1, isSilent: false };
  view.update([{ ...identity, ...state }]);
  let ended: unknown[] = [];
  const decision = Promise.resolve(undefined);
  const run = new CallRun({
    responseLimits: DEFAULT_RESPONSE_LIMITS,
    exchange: exchangeOf(isPausing),
    route: new CompiledRoute(ROUTE, new Map()),
    service: 's',
    body: Buffer.alloc(0),
    deadlineMs: monotonicMs() + ROUTE.timeoutMs,
    backends: view,
    placement: new Placement({ zone: 'z' }),
    denial: () => undefined,
    protocol: rawProtocol,
    streamVersion: new StreamVersion(),
    requestPermit: () => ({
      decision,
      waitedMs: undefined,
      waitedBehind: undefined,
      end: (...end) => (ended = end),
    }),
  });
  await run.run();
  return ended;
}

it('is learned from an answer to the only attempt', async () => {
  expect(await endOf(() => answer(200))).toEqual([true, true]);
});

it.each([
  { name: 'an error of the backend', script: answer(500) },
  { name: 'an error of the caller', script: answer(400) },
  { name: 'a call that was not executed', script: answer(421) },
  { name: 'a connection that was reset', script: [...reset] },
  { name: 'a connection that was closed', script: [close] },
  { name: 'an answer after the deadline', script: [wait(1_200), ...answer(200)] },
])('is not learned from $name', async ({ script }) => {
  expect(await endOf(() => script)).toEqual([true, false]);
});

it('is not learned from a call that was sent twice', async () => {
  expect(await endOf((number) => (number === 0 ? [close] : answer(200)))).toEqual([true, false]);
  expect(backend?.requests).toHaveLength(2);
});

it('is not learned from an answer that the caller read slowly', async () => {
  const head = ['HTTP/1.1 200 OK', ...identityHeaderLines('a'), `Content-Length: ${LONG_BYTES}`];
  const script = [write(`${head.join('\r\n')}\r\n\r\n${'x'.repeat(LONG_BYTES)}`)];
  expect(await endOf(() => script, false)).toEqual([true, true]);
  expect(await endOf(() => script, true)).toEqual([true, false]);
});
