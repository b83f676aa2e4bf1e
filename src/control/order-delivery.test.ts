/** Delivery of orders to engines: changes only, repetition, and the limit on concurrent orders. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { EngineOrder } from '../backends/control-requests.js';
import { type IntentDocument, intentDocumentSchema } from '../intents/index.js';
import { OrderDelivery } from './order-delivery.js';

beforeEach(() => vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'clearTimeout'] }));
afterEach(() => vi.useRealTimers());

function documentOf(engines: number, draining?: string): IntentDocument {
  return intentDocumentSchema.parse({
    models: [{ id: 'm' }],
    backends: Array.from({ length: engines }, (_, index) => ({
      id: `e${index}`,
      kind: 'engine',
      zone: 'z',
      address: `h:${index + 1}`,
      models: ['m'],
      state: `e${index}` === draining ? 'draining' : 'active',
    })),
  });
}

interface SentOrder extends EngineOrder {
  address: string;
}

function startDelivery(first: IntentDocument, respond: () => Promise<boolean>) {
  const current = { revision: 1, document: first };
  const sent: SentOrder[] = [];
  const delivery = new OrderDelivery({
    current: () => current,
    send: (address, order) => {
      sent.push({ address, ...order });
      return respond();
    },
  });
  delivery.start();
  return { current, sent, delivery };
}

const accept = (): Promise<boolean> => Promise.resolve(true);

describe('orders', () => {
  it('go to the engines that a revision changes, fenced with it', async () => {
    const { current, sent, delivery } = startDelivery(documentOf(100), accept);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(new Set(sent.map((order) => order.address)).size).toBe(100);
    sent.length = 0;
    current.revision = 2;
    current.document = documentOf(100, 'e7');
    delivery.notify();
    await vi.advanceTimersByTimeAsync(100);
    expect(sent).toMatchObject([{ address: 'h:8', fence: 2, role: 'draining' }]);
    delivery.stop();
  });

  it('are repeated at a bounded rate', async () => {
    const { sent, delivery } = startDelivery(documentOf(2_000), accept);
    await vi.advanceTimersByTimeAsync(20_000);
    sent.length = 0;
    await vi.advanceTimersByTimeAsync(10_000);
    expect(sent.length).toBeGreaterThan(500);
    expect(sent.length).toBeLessThanOrEqual(10 * 5 * 40 + 40);
    delivery.stop();
  });

  it('are retried until confirmed, with limited concurrency', async () => {
    let pending = 0;
    let maximum = 0;
    let failures = 300;
    const respond = async (): Promise<boolean> => {
      pending += 1;
      maximum = Math.max(maximum, pending);
      await new Promise((resolve) => setTimeout(resolve, 50));
      pending -= 1;
      failures -= 1;
      return failures < 0;
    };
    const { sent, delivery } = startDelivery(documentOf(200), respond);
    await vi.advanceTimersByTimeAsync(10_000);
    expect(maximum).toBeLessThanOrEqual(64);
    expect(new Set(sent.map((order) => order.address)).size).toBe(200);
    expect(sent.length).toBeGreaterThanOrEqual(500);
    delivery.stop();
  });
});
