/**
 * Regression test: a turn was settled with the tokens per event of the configuration in force at its end. A change under
 * running turns then counted each of their events as one token, and the program got nearly twice its budget.
 */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { RawBackend, type ScriptStep, wait, write } from '../../tests/support/raw-backend.js';
import { streamHeadOf } from '../../tests/support/raw-sends.js';
import { LAST_CHUNK, chunk } from '../../tests/support/stream-scripts.js';
import {
  OneAnswerExchange,
  ROUTE,
  StoppingGateway,
  routeTableOf,
} from '../../tests/support/stopping-gateway.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import type { RouteTable, Service } from '../routes/index.js';

const TOKENS_PER_EVENT = 25;
const EVENTS = 3;
const EVENT_PAUSE_MS = 60;
const HEAD = streamHeadOf('a');

function serviceOf(name: string, tokensPerEvent: number): Service {
  const engine = { slots: 4, cacheTokens: 1_000, tokensPerEvent };
  return { name, maxConnections: 10, engine };
}

const PRICED = serviceOf('s', TOKENS_PER_EVENT);
const BEFORE = routeTableOf([ROUTE], [PRICED]);
const OTHER = serviceOf('other', TOKENS_PER_EVENT);
const TO_OTHER = { ...ROUTE, parts: [{ service: 'other', weight: 1 }] };

let backend: RawBackend;
beforeEach(async () => {
  const events = Array.from({ length: EVENTS }, (_, index): ScriptStep[] => [
    write(chunk(`id: ${index + 1}\ndata: x\n\n`)),
    wait(EVENT_PAUSE_MS),
  ]);
  const script = [write(HEAD), ...events.flat(), write(LAST_CHUNK)];
  backend = await RawBackend.start(() => script);
});
afterEach(() => backend.stop());

/** Runs a turn under which the configurations come into force. @returns the tokens it is settled with */
async function tokensOfTurnUnder(...later: (RouteTable | undefined)[]): Promise<number> {
  const gateway = new StoppingGateway(backend);
  gateway.routes = BEFORE;
  const exchange = new OneAnswerExchange();
  const handled = gateway.forwarder.handle(exchange);
  await waitUntil('begun', () => exchange.events.includes('write'));
  for (const routes of later) gateway.routes = routes;
  await handled;
  expect(exchange.answers).toEqual(['end']);
  expect(gateway.ledger.settled).toHaveLength(1);
  return gateway.ledger.settled[0]!.spentTokens;
}

it.each<[string, (RouteTable | undefined)[]]>([
  ['drops its service and its route', [routeTableOf([], [])]],
  ['leads its route to another service and drops its own', [routeTableOf([TO_OTHER], [OTHER])]],
  [
    'lists its service without an engine',
    [routeTableOf([ROUTE], [{ ...PRICED, engine: undefined }])],
  ],
  ['lowers the tokens per event', [routeTableOf([ROUTE], [serviceOf('s', 1)])]],
  ['raises the tokens per event', [routeTableOf([ROUTE], [serviceOf('s', 100)])]],
  ['drops its service, which a further one lists again', [routeTableOf([], []), BEFORE]],
  ['is not there any more', [undefined]],
])('a turn costs what it did when it was reserved if the configuration %s', async (_, later) => {
  expect(await tokensOfTurnUnder(...later)).toBe(EVENTS * TOKENS_PER_EVENT);
});
