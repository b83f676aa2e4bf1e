import { describe, expect, it } from 'vitest';
import { OrderBook } from './order-book.js';

const models = [{ id: 'm', version: 'v1', adapters: [] }];

describe('orders', () => {
  it('are refused when a newer one was taken', () => {
    const book = new OrderBook(undefined);
    expect(book.take({ fence: 5, role: 'draining', models })).toBe(true);
    expect(book.take({ fence: 4, role: 'active', models: [] })).toBe(false);
    expect(book.role).toBe('draining');
    expect(book.take({ fence: 5, role: 'draining', models })).toBe(true);
  });

  it('say what is served; before the first one, everything is', () => {
    const book = new OrderBook(undefined);
    expect(book.serves('other')).toBe(true);
    book.take({ fence: 1, role: 'active', models });
    expect([book.serves('m'), book.serves('other')]).toEqual([true, false]);
  });
});
