/** Calls that a planned stop refuses or ends: one final response each, and nothing of them stays taken. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  RawBackend,
  type ScriptStep,
  close,
  wait,
  write,
} from '../../tests/support/raw-backend.js';
import { streamHeadOf } from '../../tests/support/raw-sends.js';
import {
  FakeGuard,
  OneAnswerExchange,
  StoppingGateway,
  TIMEOUT_MS,
} from '../../tests/support/stopping-gateway.js';
import { chunk } from '../../tests/support/stream-scripts.js';
import { unusedTokens } from '../../tests/support/unused-tokens.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { Deferred, monotonicMs, sleep } from '../common/index.js';
import type { ShutdownTiming } from '../shutdown/index.js';

/** Longer than any call of these tests. */
const LONG_MS = 10_000;
/** Time frame of a stop into which no further call of the route fits, and whose calls are not due. */
const TOO_SHORT: ShutdownTiming = { graceMs: TIMEOUT_MS / 2, noticeMs: 0, closingMs: 0 };
/** Time in which something would happen that must not happen. */
const SETTLE_MS = 100;
const HEAD = streamHeadOf('a');

const FIRST_EVENT = write(HEAD + chunk('id: 1\ndata: x\n\n'));
const LAST_CHUNK = write(chunk('id: 2\ndata: y\n\n') + chunk(''));

let script: readonly ScriptStep[];
let backend: RawBackend;
let exchange: OneAnswerExchange;
beforeEach(async () => {
  script = [wait(LONG_MS)];
  backend = await RawBackend.start(() => script);
  exchange = new OneAnswerExchange();
});
afterEach(() => backend.stop());

async function expectNotRun(gateway: StoppingGateway): Promise<void> {
  expect(exchange.refusal?.reason).toBe('shutting-down');
  expect(exchange.refusal?.retryAfterMs).toBeGreaterThan(0);
  expect(exchange.answers).toEqual(['refuse']);
  expect(backend.requests).toEqual([]);
  expect(await unusedTokens(gateway.metrics)).toBe(gateway.tokensTaken);
}

describe('a call that does not fit into what is left of a stop', () => {
  it('is refused on its arrival, and takes nothing', async () => {
    const gateway = new StoppingGateway(backend);
    gateway.shutdown.begin(TOO_SHORT);
    await gateway.forwarder.handle(exchange);
    await expectNotRun(gateway);
    expect([gateway.tokensTaken, gateway.ledger.reservationsBegun]).toEqual([0, 0]);
  });

  it('does not go on waiting for a permit when the stop begins', async () => {
    const gateway = new StoppingGateway(backend);
    gateway.keepsCallsWaiting = true;
    const handled = gateway.forwarder.handle(exchange);
    await waitUntil('waiting', () => gateway.permitsRequested === 1);
    const stoppedAt = monotonicMs();
    gateway.shutdown.begin(TOO_SHORT);
    gateway.forwarder.noteShutdown();
    await handled;
    expect(monotonicMs() - stoppedAt).toBeLessThan(TIMEOUT_MS / 4);
    await expectNotRun(gateway);
    expect(gateway.permitsEnded).not.toContain(true);
    expect(gateway.ledger.settled).toMatchObject([{ spentTokens: 0 }]);
  });

  it('is not sent after it has waited for the ledger', async () => {
    const gateway = new StoppingGateway(backend);
    gateway.ledger.reservations = new Deferred();
    const handled = gateway.forwarder.handle(exchange);
    await waitUntil('reserving', () => gateway.ledger.reservationsBegun === 1);
    gateway.shutdown.begin(TOO_SHORT);
    gateway.forwarder.noteShutdown();
    gateway.ledger.reservations.resolve();
    await handled;
    await expectNotRun(gateway);
    expect(gateway.ledger.settled).toMatchObject([{ spentTokens: 0 }]);
  });
});

describe('a call that fits into what is left of a stop', () => {
  it('goes on waiting for its permit, and is answered', async () => {
    script = [FIRST_EVENT, LAST_CHUNK];
    const gateway = new StoppingGateway(backend);
    gateway.keepsCallsWaiting = true;
    const handled = gateway.forwarder.handle(exchange);
    await waitUntil('waiting', () => gateway.permitsRequested === 1);
    gateway.shutdown.begin({ graceMs: LONG_MS, noticeMs: 0, closingMs: 0 });
    gateway.forwarder.noteShutdown();
    await sleep(SETTLE_MS);
    expect(gateway.permitsEnded).toEqual([]);
    gateway.grantPermits();
    await handled;
    expect(exchange.answers).toEqual(['end']);
  });
});

describe('a call that has reached no back end when the process ends', () => {
  it('is not sent once the ledger answers, and its reservation is released', async () => {
    const gateway = new StoppingGateway(backend);
    gateway.ledger.reservations = new Deferred();
    const handled = gateway.forwarder.handle(exchange);
    await waitUntil('reserving', () => gateway.ledger.reservationsBegun === 1);
    await gateway.end();
    expect(exchange.answers).toEqual(['refuse']);
    await handled;
    gateway.ledger.reservations.resolve();
    await sleep(SETTLE_MS);
    expect(gateway.ledger.settled).toMatchObject([{ spentTokens: 0 }]);
    await expectNotRun(gateway);
  });

  it('is not sent if the ledger answers while calls are ended', async () => {
    const gateway = new StoppingGateway(backend);
    gateway.ledger.reservations = new Deferred();
    const handled = gateway.forwarder.handle(exchange);
    await waitUntil('reserving', () => gateway.ledger.reservationsBegun === 1);
    const ended = gateway.end();
    gateway.ledger.reservations.resolve();
    await Promise.all([ended, handled]);
    await expectNotRun(gateway);
    expect(gateway.ledger.settled).toMatchObject([{ spentTokens: 0 }]);
  });

  it('counts the token of its tenant as unused if its limit is decided later', async () => {
    const gateway = new StoppingGateway(backend);
    gateway.limits = new Deferred();
    const handled = gateway.forwarder.handle(exchange);
    await waitUntil('deciding', () => gateway.tokensTaken === 1);
    await gateway.end();
    await handled;
    gateway.limits.resolve();
    await sleep(SETTLE_MS);
    await expectNotRun(gateway);
    expect(gateway.ledger.reservationsBegun).toBe(gateway.ledger.settled.length);
  });

  it('leaves no open send at the crash guard that admits it later', async () => {
    const guard = new FakeGuard();
    const gateway = new StoppingGateway(backend, {}, guard);
    const handled = gateway.forwarder.handle(exchange);
    await waitUntil('asking', () => guard.requests === 1);
    await gateway.end();
    await handled;
    guard.admission.resolve();
    await sleep(SETTLE_MS);
    await expectNotRun(gateway);
    expect(guard.openSends).toBe(0);
    expect(gateway.ledger.settled).toMatchObject([{ spentTokens: 0 }]);
  });
});

describe('a call that was sent when the process ends', () => {
  it.each([['streaming' as const], ['at-most-once' as const], ['repeatable' as const]])(
    'has a complete answer with an unknown outcome if its response has not begun: %s',
    async (kind) => {
      const gateway = new StoppingGateway(backend, { kind });
      const handled = gateway.forwarder.handle(exchange);
      await waitUntil('sent', () => backend.requests.length === 1);
      await gateway.end();
      await handled;
      expect(exchange.refusal?.reason).toBe('outcome-unknown');
      expect(exchange.answers).toEqual(['refuse']);
      expect(await unusedTokens(gateway.metrics)).toBe(0);
    },
  );

  it('is broken off if its response has begun, and the log can tell by whom', async () => {
    script = [FIRST_EVENT, wait(LONG_MS)];
    const gateway = new StoppingGateway(backend);
    const handled = gateway.forwarder.handle(exchange);
    await waitUntil('begun', () => exchange.events.includes('write'));
    await gateway.end();
    await handled;
    expect(exchange.answers).toEqual(['abort']);
    expect(exchange.disconnectedBy).toBe('shutdown');
    expect(gateway.ledger.settled).toHaveLength(1);
  });

  it('leaves no open send at the crash guard', async () => {
    const guard = new FakeGuard();
    guard.admission.resolve();
    const gateway = new StoppingGateway(backend, {}, guard);
    const handled = gateway.forwarder.handle(exchange);
    await waitUntil('sent', () => backend.requests.length === 1);
    await gateway.end();
    await handled;
    expect(exchange.refusal?.reason).toBe('outcome-unknown');
    expect(guard.openSends).toBe(0);
  });

  it('is not sent again after a response that was lost before', async () => {
    script = [close];
    const guard = new FakeGuard();
    guard.admission.resolve();
    guard.losses = new Deferred();
    const gateway = new StoppingGateway(backend, { kind: 'repeatable' }, guard);
    const handled = gateway.forwarder.handle(exchange);
    await waitUntil('lost', () => guard.lossesBegun === 1);
    await gateway.end();
    expect(exchange.refusal?.reason).toBe('outcome-unknown');
    await handled;
    guard.losses.resolve();
    await sleep(SETTLE_MS);
    expect(backend.requests).toHaveLength(1);
    expect(exchange.answers).toEqual(['refuse']);
    expect(guard.openSends).toBe(0);
  });
});

describe('a kept turn whose commit is under way when the process ends', () => {
  it('has no second end once it is committed', async () => {
    script = [FIRST_EVENT, LAST_CHUNK];
    const gateway = new StoppingGateway(backend, { retainsTurns: true });
    gateway.ledger.commits = new Deferred();
    const handled = gateway.forwarder.handle(exchange);
    await waitUntil('committing', () => gateway.ledger.commitsBegun === 1);
    await gateway.end();
    await handled;
    gateway.ledger.commits.resolve();
    await sleep(SETTLE_MS);
    expect(exchange.answers).toEqual(['abort']);
    expect(exchange.disconnectedBy).toBe('shutdown');
    expect(gateway.ledger.settled).toHaveLength(1);
  });

  it('is answered if it is committed while calls are ended', async () => {
    script = [FIRST_EVENT, LAST_CHUNK];
    const gateway = new StoppingGateway(backend, { retainsTurns: true });
    gateway.ledger.commits = new Deferred();
    const handled = gateway.forwarder.handle(exchange);
    await waitUntil('committing', () => gateway.ledger.commitsBegun === 1);
    const ended = gateway.end();
    gateway.ledger.commits.resolve();
    await Promise.all([ended, handled]);
    expect(exchange.answers).toEqual(['end']);
  });
});
