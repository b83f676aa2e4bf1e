/**
 * Regression test: a call that was refused after it had waited gave its token back, and the token let a later call run, on
 * top of those that flowed in meanwhile. A tenant then ran more calls than its limit within one window.
 */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { SILENT_LOGGER } from '../../lab/silent-logger.js';
import { RawBackend, type ScriptStep, wait, write } from '../../tests/support/raw-backend.js';
import { streamHeadOf } from '../../tests/support/raw-sends.js';
import { chunk } from '../../tests/support/stream-scripts.js';
import { OneAnswerExchange, StoppingGateway } from '../../tests/support/stopping-gateway.js';
import { monotonicMs, sleep } from '../common/index.js';
import { GroupClient, type PeerCaller } from '../consensus/index.js';
import { GatewayQuotas, type SharesRequest, type SharesResponse } from '../quotas/index.js';

const RATE_PER_SECOND = 100;
const CAPACITY = 10;
const TENANT = { name: 't', ratePerSecond: RATE_PER_SECOND, burst: CAPACITY };
/** What the tenant asks for, as a multiple of its limit. */
const PRESSURE = 4;
/** How long each call waits before it is refused, and for how long calls are refused, in milliseconds. */
const REFUSED_AFTER_MS = 600;
/** The time after it, in which calls run, in milliseconds. */
const WINDOW_MS = 500;
/** Time that the test's own processor may be late by, in milliseconds. */
const LATE_MS = 50;
const HEAD = streamHeadOf('a');
const ANSWER = [write(HEAD + chunk('id: 1\ndata: x\n\n') + chunk(''))];
const NOT_EXECUTED = [
  wait(REFUSED_AFTER_MS),
  write('HTTP/1.1 421 Misdirected Request\r\nX-Call: a\r\nContent-Length: 0\r\n\r\n'),
];

let script: readonly ScriptStep[];
let backend: RawBackend;
let quotas: GatewayQuotas;
beforeEach(async () => {
  script = ANSWER;
  backend = await RawBackend.start(() => script);
  quotas = new GatewayQuotas({
    groups: new GroupClient({ peers: grantingLeader(), addresses: ['a:1'] }),
    group: 'directory',
    gateway: 'g',
    logger: SILENT_LOGGER,
  });
  quotas.setLimits([TENANT]);
});
afterEach(async () => {
  quotas.stop();
  await backend.stop();
});

/** A leader that leaves all of the tenant's limit to the gateway, as a bucket that is empty at first. */
function grantingLeader(): PeerCaller {
  const call = (_address: string, _method: unknown, { held }: SharesRequest): Promise<unknown> => {
    const share = { ratePerSecond: RATE_PER_SECOND, capacity: CAPACITY, tokens: 0 };
    const shares = held.map(({ tenant }) => ({
      tenant,
      ...share,
      scarceForMs: 1_000,
      pressure: 1,
    }));
    const answer: SharesResponse = { term: 1, confirmedAgeMs: 0, shares };
    return Promise.resolve({ answer });
  };
  return { call, isConnected: () => true } as unknown as PeerCaller;
}

interface SentCall {
  exchange: OneAnswerExchange;
  handled: Promise<void>;
}

/** Sends calls at an even pace for a time. */
async function sendFor(gateway: StoppingGateway, durationMs: number): Promise<SentCall[]> {
  const startedAt = monotonicMs();
  const sent: SentCall[] = [];
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs = monotonicMs() - startedAt) {
    const due = (elapsedMs / 1_000) * RATE_PER_SECOND * PRESSURE;
    while (sent.length < due) {
      const exchange = new OneAnswerExchange();
      sent.push({ exchange, handled: gateway.forwarder.handle(exchange) });
    }
    await sleep(2);
  }
  return sent;
}

/** How many of the calls ran, once all have ended. */
async function countRuns(sent: SentCall[]): Promise<number> {
  await Promise.all(sent.map(({ handled }) => handled));
  return sent.filter(({ exchange }) => exchange.answers[0] === 'end').length;
}

/** Causes refusals. @returns ends them */
type Disturbance = (gateway: StoppingGateway) => () => void;

it.each<[string, Disturbance]>([
  [
    'the ledger has not answered',
    ({ ledger }) => {
      const { reserve } = ledger;
      ledger.reserve = async () => {
        await sleep(REFUSED_AFTER_MS);
        throw new Error('no answer');
      };
      return () => (ledger.reserve = reserve);
    },
  ],
  [
    'it has waited for a permit',
    (gateway) => {
      gateway.decidePermit = async () => {
        await sleep(REFUSED_AFTER_MS);
        return { retryAfterMs: 100 };
      };
      return () => (gateway.decidePermit = undefined);
    },
  ],
  [
    'back ends have answered that it has not run',
    () => {
      script = NOT_EXECUTED;
      return () => (script = ANSWER);
    },
  ],
])('a call that is refused since %s lends its token to no later call', async (_, disturb) => {
  const gateway = new StoppingGateway(backend, {}, undefined, quotas);
  const restore = disturb(gateway);
  const refused = await sendFor(gateway, REFUSED_AFTER_MS);
  restore();
  const startedAt = monotonicMs();
  const later = await sendFor(gateway, WINDOW_MS);
  const elapsedMs = monotonicMs() - startedAt;
  expect(await countRuns(refused)).toBe(0);
  const runs = await countRuns(later);
  const allowed = CAPACITY + ((elapsedMs + LATE_MS) / 1_000) * RATE_PER_SECOND;
  expect(runs).toBeLessThanOrEqual(allowed);
  // Otherwise the bound would say nothing.
  expect(runs).toBeGreaterThan((WINDOW_MS / 1_000) * RATE_PER_SECOND * 0.5);
});
