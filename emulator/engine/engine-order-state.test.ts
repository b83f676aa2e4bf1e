import { describe, expect, it } from 'vitest';
import { EngineOrderState } from './engine-order-state.js';

const models = [{ id: 'm', version: 'v1', adapters: [] }];

describe('orders', () => {
  it('are refused when a newer one was taken', () => {
    const book = new EngineOrderState(undefined);
    expect(book.apply({ fence: 5, role: 'draining', models })).toBe(true);
    expect(book.apply({ fence: 4, role: 'active', models: [] })).toBe(false);
    expect(book.role).toBe('draining');
    expect(book.apply({ fence: 5, role: 'draining', models })).toBe(true);
  });

  it('say what is served; before the first one, everything is', () => {
    const book = new EngineOrderState(undefined);
    expect(book.serves('other')).toBe(true);
    book.apply({ fence: 1, role: 'active', models });
    expect([book.serves('m'), book.serves('other')]).toEqual([true, false]);
  });
});
